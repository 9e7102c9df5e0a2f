//! Outcomes of writes.

use toucanquay_model::Revision;

use crate::Item;

/// Outcome of a write that the store processed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PutOutcome {
    /// The write took effect at this revision.
    Stored(Revision),
    /// The write had no effect, because its condition was not met. Holds the current item, if there
    /// is one.
    Conflict(Option<Item>),
    /// The lease of the write has ended: the write had no effect, or the key was deleted with the
    /// lease.
    LeaseEnded,
}
