//! Stored items.

use serde::Serialize;

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// Revision of the last write to this key.
    pub revision: u64,
    /// The lease that the key ends with.
    pub lease: Option<u64>,
}
