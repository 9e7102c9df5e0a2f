//! A worker's list of attempts.

use toucanquay_model::{Epoch, Incarnation, Time, session::End};

use super::ListedAttempt;

/// A worker's running attempts and unacknowledged ends.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AttemptList {
    /// Incarnation of the worker.
    pub incarnation: Incarnation,
    /// Epoch of the call. From now on the worker ignores calls of lower epochs.
    pub epoch: Epoch,
    /// When the list was requested.
    pub called_at: Time,
    /// Running attempts.
    pub running: Vec<ListedAttempt>,
    /// Ends that are not acknowledged, ordered by number and without gaps.
    pub finished: Vec<End>,
    /// Whether attempts may be missing from both lists, because the worker's reply can't be read
    /// in full.
    pub is_partial: bool,
    /// Whether the worker may have more ends than it has listed. Attempts that are in neither list
    /// may have ended.
    pub has_more_ends: bool,
}
