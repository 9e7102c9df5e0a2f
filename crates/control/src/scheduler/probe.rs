//! Start of suspect tasks on a host of their own.

use smallvec::SmallVec;
use toucanquay_model::{Time, graph::Place};

use super::key::{JobKey, RunKey};

/// Start of suspect tasks on a host on which nothing else is started until the worker has outlived
/// the start. If the worker crashes, there are no other suspects.
///
/// It begins when the worker has outlived all earlier starts. Until then the host is reserved.
#[derive(Debug, Clone)]
pub(super) struct Probe {
    /// Attempts whose starts are awaited; none while the host is reserved.
    pub(super) runs: SmallVec<[RunKey; 4]>,
    /// Suspect task that is started first, or for which the host is reserved.
    pub(super) task: (JobKey, Place),
    /// Placement round in which it began. Other tasks may join it in this round.
    pub(super) round: u64,
    /// Number of tasks that it may have.
    pub(super) tasks_max: usize,
    /// When the probe ends without a result.
    pub(super) expires_at: Time,
}

impl Probe {
    pub(super) fn is_reservation(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns whether another task may join the probe in a placement round.
    pub(super) fn is_open(&self, round: u64) -> bool {
        !self.is_reservation() && self.round == round && self.runs.len() < self.tasks_max
    }
}
