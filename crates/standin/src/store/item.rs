//! Stored item.

use serde::Serialize;

/// Key with its value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Item {
    /// Full key, by which the store sorts and lists items.
    pub key: String,
    /// Text as the client wrote it. The store doesn't interpret it.
    pub value: String,
    /// Revision of the last write to this key.
    pub revision: u64,
    /// Lease that the key is attached to. The key is deleted when the lease ends.
    pub lease: Option<u64>,
}
