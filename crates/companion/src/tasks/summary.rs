//! Tasks of the worker, as entries hear of them.

/// Tasks of the worker, as entries hear of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskSummary {
    /// Tasks that hold resources.
    pub running: u32,
    /// Whether no task and no result that the owner has yet to record is left.
    pub is_drained: bool,
}

impl TaskSummary {
    /// The load of a worker without a task runtime.
    pub const NONE: Self = Self {
        running: 0,
        is_drained: true,
    };

    /// The load of a worker whose task runtime was not asked yet.
    pub const UNKNOWN: Self = Self {
        running: 0,
        is_drained: false,
    };
}
