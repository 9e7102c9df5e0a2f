//! One task.

use smallvec::SmallVec;
use toucanquay_model::Time;

use super::key::{HostKey, RunKey};

/// Failed attempts that are remembered of a task.
const FAILED_MAX: usize = 64;

/// State of one task.
#[derive(Debug, Clone, Default)]
pub(super) struct Task {
    pub(super) phase: Phase,
    /// Attempts that ended as failed; the last ones of a perpetual task.
    pub(super) failed: SmallVec<[u64; 2]>,
    pub(super) checkpoint: Option<String>,
    pub(super) not_before: Time,
    /// Worker on which the last attempt failed.
    pub(super) avoid: Option<HostKey>,
}

impl Task {
    /// Counts a failed attempt. Returns `false` if it was counted before.
    pub(super) fn count_failure(&mut self, attempt: u64) -> bool {
        if self.failed.contains(&attempt) {
            return false;
        }
        if self.failed.len() >= FAILED_MAX {
            self.failed.remove(0);
        }
        self.failed.push(attempt);
        true
    }
}

/// Where a task stands.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Phase {
    /// It has no attempt.
    #[default]
    Waiting,
    /// An attempt runs or may run.
    Running(RunKey),
    /// It is done.
    Done,
}
