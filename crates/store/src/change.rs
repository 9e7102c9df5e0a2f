//! Changes of keys.

use toucanquay_model::Revision;

use crate::Stamp;

/// A write or a deletion, as a watch reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Full key that was written or deleted, including the watched prefix.
    pub key: String,
    /// The new value, or `None` for a deletion.
    pub value: Option<String>,
    /// Revision of the change, unique among changes.
    pub revision: Revision,
    /// The stamp of the write, if a [`Client`](crate::Client) wrote the value.
    pub stamp: Option<Stamp>,
}
