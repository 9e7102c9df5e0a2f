//! One call to a worker.

use toucanquay_model::{
    Epoch, Time,
    graph::Task,
    session::{Start, Stop},
};

/// A call to a worker. Each carries the epoch, below which the worker does nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Start an attempt.
    Start {
        /// The owner's epoch.
        epoch: Epoch,
        /// The order.
        start: Start,
        /// Identifier of the worker that is meant.
        worker: String,
        /// After this time the start must not take effect, and the lease ends.
        lease_until: Time,
    },
    /// Stop an attempt.
    Stop {
        /// The owner's epoch.
        epoch: Epoch,
        /// The order.
        stop: Stop,
    },
    /// Set the pace of an attempt.
    Pace {
        /// The owner's epoch.
        epoch: Epoch,
        /// The task.
        task: Task,
        /// The attempt.
        attempt: u64,
        /// Share of the full speed, in percent.
        percent: u8,
    },
    /// Renew the lease, acknowledge ends, and list what runs and what has ended.
    RenewLease {
        /// The owner's epoch.
        epoch: Epoch,
        /// End of the lease; a time that is past renews nothing.
        lease_until: Time,
        /// Ends up to this number are durable.
        acknowledged: u64,
        /// Time for which the answer may wait for an end, in milliseconds.
        wait_ms: u64,
    },
}
