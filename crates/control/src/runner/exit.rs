//! An exit of the worker that was inferred.

use toucanquay_model::{Incarnation, Time, session::Worker};

use super::AttemptList;

/// Exit of the worker, inferred because its address refused connections.
#[derive(Debug)]
pub(super) struct Exit {
    /// Incarnation that counts as exited.
    pub(super) incarnation: Incarnation,
    /// Its start time.
    pub(super) born: Incarnation,
    /// The worker as it was last known.
    pub(super) worker: Option<Worker>,
    pub(super) recorded_at: Time,
}

impl Exit {
    /// Returns whether a list shows that the process lives on. One that was requested before the
    /// exit may have been delayed.
    pub(super) fn is_refuted_by(&self, list: &AttemptList) -> bool {
        list.incarnation == self.born && list.called_at > self.recorded_at
    }
}
