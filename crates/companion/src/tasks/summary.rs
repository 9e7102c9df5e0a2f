//! Summary of the worker's tasks for heartbeats.

/// Summary of the worker's tasks, as sent in heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskSummary {
    /// Number of tasks that hold resources.
    pub running: u32,
    /// Whether there are no tasks and no results that the owner has yet to acknowledge.
    pub is_drained: bool,
}

impl TaskSummary {
    /// Summary of a worker without a task runtime.
    pub const NONE: Self = Self {
        running: 0,
        is_drained: true,
    };

    /// Summary of a worker whose task runtime has not been queried yet.
    pub const UNKNOWN: Self = Self {
        running: 0,
        is_drained: false,
    };
}
