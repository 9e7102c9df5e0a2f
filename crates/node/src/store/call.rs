//! One call to the store.

use toucanquay_model::Revision;

use super::Transaction;

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Read one item.
    Get {
        /// Its key.
        key: String,
    },
    /// Read items by prefix.
    Page {
        /// Prefix of their keys.
        prefix: String,
        /// The page begins behind this key.
        after: String,
    },
    /// Wait for changes.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// Only changes after this revision.
        after: Revision,
    },
    /// Change keys.
    Commit(Transaction),
}
