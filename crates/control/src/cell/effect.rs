//! What happens once a write is durable.

use toucanquay_model::Attempt;

use super::{
    Token,
    key::{JobKey, TaskKey, WorkerKey},
};

/// What happens once a write is durable.
#[derive(Debug, Clone, Copy)]
pub(super) enum Effect {
    /// A submission is acknowledged.
    Accept { job: JobKey, token: Token },
    /// A cancellation is acknowledged, as soon as no start of the job can take effect any more.
    Cancel { job: JobKey, token: Token },
    /// The end of an attempt is acknowledged, and its task goes on.
    End {
        task: TaskKey,
        attempt: Attempt,
        worker: WorkerKey,
        backoff_micros: u64,
    },
}
