//! One task of a job.

use toucanquay_model::{Attempt, Time};

use super::key::{RunKey, WorkerKey};

/// One task of a job.
#[derive(Debug, Clone, Default)]
pub(super) struct Task {
    /// Highest attempt known.
    pub(super) last: Attempt,
    pub(super) phase: Phase,
    pub(super) failures: u8,
    /// Worker on which it failed last; another one is preferred.
    pub(super) avoided_worker: Option<WorkerKey>,
}

/// Where a task is on its way.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Phase {
    /// It waits for a worker, or for the end of the wait after a takeover.
    #[default]
    Waiting,
    /// It waits until a time before it waits for a worker.
    Backoff(Time),
    /// An attempt holds a lease.
    Running(RunKey),
    /// Its last attempt has ended and the end is not durable yet.
    Ending,
    /// It is finished, has failed for good or is cancelled.
    Done,
}
