//! Items of the store.

use toucanquay_model::Revision;

/// A key and its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Full key, including any prefix that was used to list or watch it.
    pub key: String,
    /// Stored bytes, whose format depends on the key.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: Revision,
}
