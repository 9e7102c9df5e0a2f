//! Calls to the store.

use toucanquay_model::Revision;

use super::Transaction;

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Read one item.
    Get {
        /// Full key of the item.
        key: String,
    },
    /// Read one page of items by prefix.
    Page {
        /// Prefix of their keys.
        prefix: String,
        /// Only items whose key sorts after this one.
        after: String,
    },
    /// Wait for changes.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// Only changes after this revision.
        after: Revision,
    },
    /// Execute a transaction.
    Commit(Transaction),
}
