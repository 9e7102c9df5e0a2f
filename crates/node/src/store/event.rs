//! Changes reported by a watch.

use toucanquay_model::Revision;

use super::Item;

/// A change reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// An item was written.
    Written(Item),
    /// A key was removed.
    Removed {
        /// Full key of the removed item.
        key: String,
        /// Revision of the removal.
        revision: Revision,
    },
}
