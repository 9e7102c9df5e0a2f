//! Outcomes of writes.

use toucanquay_model::Revision;

use crate::Item;

/// Outcome of a write that the store has decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PutOutcome {
    /// It took effect.
    Stored(Revision),
    /// It had no effect, because the key was not as expected.
    Conflict(Option<Item>),
    /// Its lease has ended, so that it had no effect or none that lasted.
    LeaseEnded,
}
