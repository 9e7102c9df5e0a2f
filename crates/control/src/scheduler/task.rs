//! One task.

use smallvec::SmallVec;
use toucanquay_model::Time;

use super::key::{HostKey, RunKey};

/// Failed attempts that are remembered of a task.
const FAILED_ATTEMPTS_MAX: usize = 64;

/// State of one task.
#[derive(Debug, Clone, Default)]
pub(super) struct Task {
    pub(super) phase: Phase,
    /// Attempts that ended as failed; the last ones of a perpetual task.
    pub(super) failed_attempts: SmallVec<[u64; 2]>,
    pub(super) checkpoint: Option<String>,
    pub(super) not_before: Time,
    /// Worker on which the last attempt failed.
    pub(super) avoided_host: Option<HostKey>,
}

impl Task {
    /// Counts a failed attempt. Returns `false` if it was counted before.
    pub(super) fn count_failure(&mut self, attempt: u64) -> bool {
        if self.failed_attempts.contains(&attempt) {
            return false;
        }
        if self.failed_attempts.len() >= FAILED_ATTEMPTS_MAX {
            self.failed_attempts.remove(0);
        }
        self.failed_attempts.push(attempt);
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
