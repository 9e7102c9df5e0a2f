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
        /// Task within which `attempt` is unique.
        task: task::Id,
        /// Attempt that holds a lease and that the owner does not stop.
        attempt: Attempt,
        /// End of its lease.
        deadline: Time,
    },
    /// Stop an attempt. The call may be repeated.
    Stop {
        /// Task within which `attempt` is unique.
        task: task::Id,
        /// Attempt to stop.
        attempt: Attempt,
        /// Whether to take a checkpoint first.
        with_checkpoint: bool,
    },
    /// Limit an attempt to a share of its processors.
    Throttle {
        /// Task within which `attempt` is unique.
        task: task::Id,
        /// Attempt to limit.
        attempt: Attempt,
        /// Share that the attempt keeps, in percent.
        share_percent: u8,
    },
    /// Forget the result of an ended attempt.
    Forget {
        /// Task within which `attempt` is unique.
        task: task::Id,
        /// Attempt whose end the owner has acknowledged.
        attempt: Attempt,
    },
    /// List all attempts that the runtime knows, ended ones included.
    List,
}
