//! Placement decisions.

use toucanquay_model::{Resources, task};

/// Decision to start a waiting task on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// Task to start. The backlog already counts it as running.
    pub task: task::Id,
    /// Index of the worker in the slice passed to [`Backlog::assign`](super::Backlog::assign).
    pub worker_index: usize,
    /// Resources reserved on the worker, estimated from measured usage. The grant carries this
    /// amount.
    pub reservation: Resources,
}
