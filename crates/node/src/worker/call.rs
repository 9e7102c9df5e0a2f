//! Calls to a worker.

use toucanquay_model::{
    Epoch, Time,
    graph::Task,
    session::{Start, Stop},
};

/// A call to a worker. The worker rejects calls with an epoch lower than one it has already seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Start an attempt.
    Start {
        /// The owner's epoch.
        epoch: Epoch,
        /// The attempt to start.
        start: Start,
        /// Identifier of the worker that the call is intended for.
        worker: String,
        /// End of the lease. The start must not take effect after this time.
        lease_until: Time,
    },
    /// Stop an attempt.
    Stop {
        /// The owner's epoch.
        epoch: Epoch,
        /// The attempt to stop.
        stop: Stop,
    },
    /// Set the speed of an attempt.
    Pace {
        /// The owner's epoch.
        epoch: Epoch,
        /// Task within which `attempt` is unique.
        task: Task,
        /// Number of the attempt, as in its [`Start`].
        attempt: u64,
        /// Speed in percent of the full speed.
        percent: u8,
    },
    /// Renew the lease, acknowledge ended attempts, and list running and ended attempts.
    RenewLease {
        /// The owner's epoch.
        epoch: Epoch,
        /// Identifier of the worker that the call is intended for, if it is known. Another one only
        /// lists its attempts.
        worker: Option<String>,
        /// End of the lease. A time in the past doesn't renew it.
        lease_until: Time,
        /// Ended attempts up to this sequence number are durably recorded.
        acknowledged: u64,
        /// Long-poll timeout: time for which the response may wait for an attempt to end, in
        /// milliseconds.
        wait_ms: u64,
    },
}
