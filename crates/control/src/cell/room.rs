//! Free resources of a worker.

use toucanquay_model::Resources;

use super::key::WorkerKey;

/// Free resources of a worker that takes grants now.
#[derive(Debug, Clone, Copy)]
pub(super) struct Room {
    pub(super) worker: WorkerKey,
    pub(super) free: Resources,
}
