//! Decisions to start a task.

use toucanquay_model::{Resources, task};

/// Decision to start a waiting task on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The task.
    pub task: task::Id,
    /// Index of the worker's room in the slice that was passed to
    /// [`Backlog::assign`](super::Backlog::assign).
    pub worker_index: usize,
    /// What the task holds on the worker, from learned usage. The grant carries this amount.
    pub reservation: Resources,
}
