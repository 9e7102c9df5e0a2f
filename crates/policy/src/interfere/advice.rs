//! Advice on running tasks.

use toucanquay_model::task;

/// A change that the owner of the cell should order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Advice {
    /// Limit the task to a share of its processors.
    Throttle {
        /// Task whose share changes.
        task: task::Id,
        /// Share in percent. 100 ends the throttling.
        share_percent: u8,
    },
    /// Checkpoint and stop the task, and start it on another worker.
    Evict {
        /// Task to move to another worker.
        task: task::Id,
    },
}
