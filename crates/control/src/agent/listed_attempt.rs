//! Attempts in a task runtime's list.

use toucanquay_model::{Attempt, Resources, Time, exchange::TaskState, task};

/// An attempt that the task runtime knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedAttempt {
    /// The task.
    pub task: task::Id,
    /// The attempt.
    pub attempt: Attempt,
    /// Resources that it holds while it runs.
    pub demand: Resources,
    /// End of its lease.
    pub deadline: Time,
    /// Its state.
    pub state: TaskState,
}
