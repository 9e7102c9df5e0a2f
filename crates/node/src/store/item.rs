//! Items of the store.

use toucanquay_model::Revision;

/// A key and its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: Revision,
}
