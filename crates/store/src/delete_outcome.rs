//! Outcomes of deletions.

use crate::Item;

/// Outcome of a deletion that the store processed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeleteOutcome {
    /// The key is deleted. After a lost response, another process may have deleted it.
    Deleted,
    /// The key was absent.
    Absent,
    /// The deletion had no effect, because its condition was not met. After a lost response, the
    /// key may have been deleted and written again.
    Conflict(Item),
}
