//! What the scheduler has concluded, for the log.

use toucanquay_model::graph::{Id, State, Task};

/// A conclusion that changes what the owner believes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A job is over.
    JobOver {
        /// The job.
        job: Id,
        /// Its final state.
        state: State,
        /// Why it failed.
        reason: Option<String>,
    },
    /// An attempt that an earlier owner started goes on.
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
        /// Failed attempts of the task so far.
        failures: u32,
        /// The host.
        host: String,
    },
    /// A worker is gone, or its lease has ended while it was silent.
    WorkerLost {
        /// The host.
        host: String,
        /// Attempts that were lost with it.
        attempts: usize,
    },
    /// A worker drains.
    Draining {
        /// The host.
        host: String,
        /// Attempts that are stopped to go on elsewhere.
        moved: usize,
    },
    /// An attempt is moved because its neighbours allow it hardly any speed.
    Moved {
        /// The task.
        task: Task,
        /// The attempt.
        attempt: u64,
        /// The host.
        host: String,
    },
}
