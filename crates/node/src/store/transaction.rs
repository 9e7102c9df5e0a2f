//! One transaction.

use toucanquay_model::Revision;

/// Changes that take effect together, if all conditions hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys that must have this revision; 0 means that the key doesn't exist.
    pub conditions: Vec<(String, Revision)>,
    /// Keys to write with their values.
    pub puts: Vec<(String, Vec<u8>)>,
    /// Keys to remove.
    pub removals: Vec<String>,
}

impl Transaction {
    /// Most conditions, writes and removals together.
    pub const OPERATIONS_MAX: usize = 32;

    /// Adds a condition.
    #[must_use]
    pub fn expect_revision(mut self, key: impl Into<String>, revision: Revision) -> Self {
        self.conditions.push((key.into(), revision));
        self
    }

    /// Adds a write.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, value: impl Into<Vec<u8>>) -> Self {
        self.puts.push((key.into(), value.into()));
        self
    }

    /// Adds a removal.
    #[must_use]
    pub fn remove(mut self, key: impl Into<String>) -> Self {
        self.removals.push(key.into());
        self
    }
}
