//! Transactions of the store.

use toucanquay_model::Revision;

/// Changes that are applied atomically if all conditions hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys with the revision that they must have. Revision 0 means that the key must not exist.
    pub conditions: Vec<(String, Revision)>,
    /// Keys to write and their values.
    pub puts: Vec<(String, Vec<u8>)>,
    /// Keys to remove.
    pub removals: Vec<String>,
}

impl Transaction {
    /// Maximum total number of conditions, writes and removals.
    pub const OPERATIONS_MAX: usize = 32;

    /// Requires a key to have a revision.
    #[must_use]
    pub fn expect_revision(mut self, key: impl Into<String>, revision: Revision) -> Self {
        self.conditions.push((key.into(), revision));
        self
    }

    /// Writes a key.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, value: impl Into<Vec<u8>>) -> Self {
        self.puts.push((key.into(), value.into()));
        self
    }

    /// Removes a key.
    #[must_use]
    pub fn remove(mut self, key: impl Into<String>) -> Self {
        self.removals.push(key.into());
        self
    }
}
