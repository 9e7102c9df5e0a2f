//! Stored items.

use toucanquay_model::Revision;

use crate::Stamp;

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value, without the stamp.
    pub value: String,
    /// Revision of the last write to this key.
    pub revision: Revision,
    /// The lease that the key ends with.
    pub lease: Option<u64>,
    /// Who wrote it, for a value that a [`Client`](crate::Client) has written.
    pub stamp: Option<Stamp>,
}
