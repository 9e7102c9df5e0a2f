//! What a companion does at its worker's task runtime.

use toucanquay_model::{Attempt, Time, exchange::Grant, task};

/// A call to the worker's task runtime.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Start an attempt, unless the deadline has passed when the call arrives.
    Start {
        /// What to start.
        grant: Grant,
        /// When its lease ends.
        deadline: Time,
    },
    /// Move the lease deadline of an attempt to a later time.
    Renew {
        /// The task.
        task: task::Id,
        /// The attempt.
        attempt: Attempt,
        /// When its lease ends.
        deadline: Time,
    },
    /// Stop an attempt. It may be repeated.
    Stop {
        /// The task.
        task: task::Id,
        /// The attempt.
        attempt: Attempt,
        /// Whether to take a checkpoint first.
        with_checkpoint: bool,
    },
    /// Slow an attempt down.
    Throttle {
        /// The task.
        task: task::Id,
        /// The attempt.
        attempt: Attempt,
        /// Share of its processors that the attempt keeps, in percent.
        share_percent: u8,
    },
    /// Forget the result of an ended attempt.
    Forget {
        /// The task.
        task: task::Id,
        /// The attempt.
        attempt: Attempt,
    },
    /// List all attempts that the runtime knows, ended ones included.
    List,
}
