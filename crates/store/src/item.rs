//! Stored items.

use toucanquay_model::Revision;

use crate::Stamp;

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Full key, including any prefix that was used to list it.
    pub key: String,
    /// The value, without the stamp.
    pub value: String,
    /// Revision of the last write to this key.
    pub revision: Revision,
    /// The lease whose end deletes the key.
    pub lease: Option<u64>,
    /// The stamp of the write, if a [`Client`](crate::Client) wrote the value.
    pub stamp: Option<Stamp>,
}
