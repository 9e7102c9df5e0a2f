//! Changes of keys.

use toucanquay_model::Revision;

use crate::Stamp;

/// A write or a deletion, as a watch reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The new value, or `None` for a deletion.
    pub value: Option<String>,
    /// Revision of the change. No two changes have the same.
    pub revision: Revision,
    /// Who wrote it, for a value that a [`Client`](crate::Client) has written.
    pub stamp: Option<Stamp>,
}
