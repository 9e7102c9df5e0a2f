//! A worker's list of attempts.

use toucanquay_model::{Epoch, Incarnation, Time, session::End};

use super::ListedAttempt;

/// What a worker listed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AttemptList {
    /// Incarnation of the worker.
    pub incarnation: Incarnation,
    /// Epoch of the call, below which the worker does nothing from now on.
    pub epoch: Epoch,
    /// When the list was asked for.
    pub called_at: Time,
    /// Attempts that run.
    pub running: Vec<ListedAttempt>,
    /// Ends that are not acknowledged, in the order of their numbers.
    pub finished: Vec<End>,
}
