//! Calls to a worker's task runtime.

use toucanquay_model::{Attempt, Time, exchange::Grant, task};

/// A call that the companion makes to its worker's task runtime.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Start an attempt, unless its deadline has passed when the call arrives.
    Start {
        /// The attempt to start.
        grant: Grant,
        /// End of its lease.
        deadline: Time,
    },
    /// Extend the lease of an attempt.
    Renew {
        /// The task.
        task: task::Id,
        /// The attempt.
        attempt: Attempt,
        /// End of its lease.
        deadline: Time,
    },
    /// Stop an attempt. The call may be repeated.
    Stop {
        /// The task.
        task: task::Id,
        /// The attempt.
        attempt: Attempt,
        /// Whether to take a checkpoint first.
        with_checkpoint: bool,
    },
    /// Limit an attempt to a share of its processors.
    Throttle {
        /// The task.
        task: task::Id,
        /// The attempt.
        attempt: Attempt,
        /// Share that the attempt keeps, in percent.
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
