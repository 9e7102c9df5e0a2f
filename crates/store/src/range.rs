//! Items with a common prefix.

use toucanquay_model::Revision;

use crate::Item;

/// The items with a prefix, all read at one revision of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Range {
    /// The store's revision. A watch from here misses nothing.
    pub revision: Revision,
    /// The items in the order of their keys.
    pub items: Vec<Item>,
}
