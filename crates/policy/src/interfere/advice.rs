//! Advice on running tasks.

use toucanquay_model::task;

/// A change that the owner of a cell should order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Advice {
    /// Let the task keep a share of its processors.
    Throttle {
        /// The task.
        task: task::Id,
        /// Share in percent; 100 ends the throttling.
        share_percent: u8,
    },
    /// Stop the task with a checkpoint and start it elsewhere.
    Evict {
        /// The task.
        task: task::Id,
    },
}
