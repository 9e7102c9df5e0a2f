//! Attempts in a task runtime's list.

use toucanquay_model::{Attempt, Resources, Time, exchange::TaskState, task};

/// An attempt that the task runtime knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedAttempt {
    /// Task within which `attempt` is unique.
    pub task: task::Id,
    /// Attempt, with the epoch of the owner that granted it.
    pub attempt: Attempt,
    /// Resources that it holds while it runs.
    pub demand: Resources,
    /// End of its lease.
    pub deadline: Time,
    /// State when the runtime answered. Ended attempts are listed too.
    pub state: TaskState,
}
