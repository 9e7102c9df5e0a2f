//! State of one task of a job.

use toucanquay_model::{Attempt, Time};

use super::key::{RunKey, WorkerKey};

/// State of one task of a job.
#[derive(Debug, Clone, Default)]
pub(super) struct Task {
    /// Newest known attempt.
    pub(super) last_attempt: Attempt,
    pub(super) phase: Phase,
    pub(super) failures: u8,
    /// Worker on which it failed last. Others are preferred.
    pub(super) avoided_worker: Option<WorkerKey>,
}

/// Phase of a task's execution.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Phase {
    /// It waits for a worker, or for the end of a takeover.
    #[default]
    Waiting,
    /// It waits until a time before it is queued again.
    Backoff(Time),
    /// An attempt holds a lease.
    Running(RunKey),
    /// Its last attempt has ended, and the end is not durable yet.
    Ending,
    /// It has finished, failed permanently or was cancelled.
    Done,
}
