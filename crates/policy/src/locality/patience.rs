//! Deadline of a wait.

use toucanquay_model::Time;

use super::Bound;

/// Deadline of a wait for a near place, with its reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    /// Time until which the tasks wait at most.
    pub until: Time,
    /// What sets that time.
    pub bound: Bound,
}
