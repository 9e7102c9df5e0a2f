//! Scheduler events for the log.

use toucanquay_model::graph::{Id, State, Task};

/// Change of the scheduler's state that is worth logging.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A job has ended.
    JobOver {
        /// The job.
        job: Id,
        /// Its final state.
        state: State,
        /// Reason of the failure, if it failed.
        reason: Option<String>,
    },
    /// The owner has adopted an attempt that a former owner started.
    Adopted {
        /// The task.
        task: Task,
        /// The attempt.
        attempt: u64,
        /// The host.
        host: String,
    },
    /// An attempt failed.
    Failed {
        /// The task.
        task: Task,
        /// Number of failed attempts of the task so far.
        failures: u32,
        /// The host.
        host: String,
    },
    /// A worker is gone, or its lease has ended while its agent was disconnected.
    WorkerLost {
        /// The host.
        host: String,
        /// Number of attempts that were lost with the worker.
        attempts: usize,
    },
    /// A worker has begun to drain.
    Draining {
        /// The host.
        host: String,
        /// Number of attempts that are stopped to continue elsewhere.
        moved: usize,
    },
    /// An attempt is stopped to continue elsewhere, because the tasks beside it leave it too little
    /// speed.
    Moved {
        /// The task.
        task: Task,
        /// The attempt.
        attempt: u64,
        /// The host.
        host: String,
    },
}
