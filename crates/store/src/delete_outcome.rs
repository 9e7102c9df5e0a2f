//! Outcomes of deletions.

use crate::Item;

/// Outcome of a deletion that the store has decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeleteOutcome {
    /// The key is gone. After a lost answer, another process may have deleted it.
    Deleted,
    /// The key was absent.
    Absent,
    /// It had no effect, because the key was not as expected. After a lost answer, the key may
    /// have been deleted and written again.
    Conflict(Item),
}
