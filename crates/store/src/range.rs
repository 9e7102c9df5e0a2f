//! Items with a common prefix.

use toucanquay_model::Revision;

use crate::Item;

/// The items with a prefix, all read at one revision of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Range {
    /// The revision of the read. A watch after it misses no change.
    pub revision: Revision,
    /// The items, sorted by key.
    pub items: Vec<Item>,
    /// Whether all items could be read. Otherwise, `items` lacks some.
    pub is_complete: bool,
}
