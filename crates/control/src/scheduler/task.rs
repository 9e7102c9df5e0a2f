//! State of one task.

use smallvec::SmallVec;
use toucanquay_model::Time;

use super::key::{HostKey, RunKey};

/// Maximum number of failed attempts that are kept for a task.
const FAILED_ATTEMPTS_MAX: usize = 64;

/// Placement state and history of one task.
#[derive(Debug, Clone, Default)]
pub(super) struct Task {
    pub(super) phase: Phase,
    /// Second attempt beside the running one.
    pub(super) copy: Option<RunKey>,
    /// Numbers of the failed attempts; of a perpetual task, the latest ones since one ran for long.
    pub(super) failed_attempts: SmallVec<[u64; 2]>,
    /// Numbers of the attempts that are suspects of the crashes of their workers, since the last
    /// one that was outlived by its worker.
    pub(super) crashed_attempts: SmallVec<[u64; 2]>,
    /// Numbers of the attempts that their workers may not have begun when they crashed.
    pub(super) suspected_attempts: SmallVec<[u64; 2]>,
    /// Number of the last attempt whose start was outlived by its worker.
    pub(super) outlived_attempt: u64,
    /// Version of the job that must be recorded before the task is started again.
    pub(super) suspected_in: u64,
    pub(super) checkpoint: Option<String>,
    pub(super) not_before: Time,
    /// Number of attempts that this owner has stopped because they were slow.
    pub(super) moves: u32,
    /// Latest time at which the task is known to have run; before its first run, when its stage was
    /// opened. It is up to date, to a second, only for a perpetual task.
    pub(super) ran_at: Time,
    /// When it was last reported that the task doesn't run.
    pub(super) wait_reported_at: Time,
    /// Host on which the last attempt failed, or whose agent rejected it.
    pub(super) avoided_host: Option<HostKey>,
}

impl Task {
    /// Returns whether a worker has crashed soon after it had started the task, or may have.
    pub(super) fn is_suspect(&self) -> bool {
        self.suspicions() > 0
    }

    /// Returns the number of crashes for which the task is a suspect.
    pub(super) fn suspicions(&self) -> usize {
        self.crashed_attempts.len() + self.suspected_attempts.len()
    }

    /// Returns the numbers of the attempts that are suspects.
    pub(super) fn suspects(&self) -> impl Iterator<Item = u64> {
        let suspected = self.suspected_attempts.iter();
        self.crashed_attempts.iter().chain(suspected).copied()
    }

    /// Records that a worker has outlived the start of an attempt. Returns whether the task was a
    /// suspect until then.
    pub(super) fn outlive_start(&mut self, attempt: u64) -> bool {
        self.outlived_attempt = self.outlived_attempt.max(attempt);
        if !self.is_suspect() || self.suspects().any(|suspect| suspect > attempt) {
            return false;
        }
        self.suspected_attempts.clear();
        self.crashed_attempts.clear();
        true
    }

    /// Returns the attempts that are or may be on workers.
    pub(super) fn runs(&self) -> impl Iterator<Item = RunKey> {
        let first = match self.phase {
            Phase::Running(run) => Some(run),
            Phase::Waiting | Phase::Done => None,
        };
        first.into_iter().chain(self.copy)
    }

    /// Removes an attempt that is no longer on its worker. A copy takes the place of the first
    /// attempt. Returns whether the task waits from now on.
    pub(super) fn release(&mut self, run: RunKey) -> bool {
        if self.copy == Some(run) {
            self.copy = None;
            return false;
        }
        if self.phase != Phase::Running(run) {
            return false;
        }
        self.phase = self.copy.take().map_or(Phase::Waiting, Phase::Running);
        self.phase == Phase::Waiting
    }

    /// Counts a failed attempt. Returns `false` if it has already been counted.
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

/// Execution phase of a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Phase {
    /// The task has no attempt.
    #[default]
    Waiting,
    /// An attempt of the task is running or may be running.
    Running(RunKey),
    /// The task is done.
    Done,
}
