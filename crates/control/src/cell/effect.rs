//! Effects of durable writes.

use toucanquay_model::Attempt;

use super::{
    Token,
    key::{JobKey, TaskKey, WorkerKey},
};

/// What happens once a write is durable.
#[derive(Debug, Clone, Copy)]
pub(super) enum Effect {
    /// Acknowledges a submission.
    Accept { job: JobKey, token: Token },
    /// Acknowledges a cancellation once no start of the job's tasks can take effect any more.
    Cancel { job: JobKey, token: Token },
    /// Acknowledges the end of an attempt and requeues its task.
    End {
        task: TaskKey,
        attempt: Attempt,
        worker: WorkerKey,
        backoff_micros: u64,
    },
}
