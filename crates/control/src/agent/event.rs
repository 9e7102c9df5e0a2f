//! Events of a task runtime.

use toucanquay_model::{Attempt, Time, task};

use super::{ListedAttempt, Outcome};

/// A result or message of the worker's task runtime.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The state of one attempt.
    Task {
        /// The task.
        task: task::Id,
        /// The attempt.
        attempt: Attempt,
        /// Its outcome.
        outcome: Outcome,
    },
    /// A list of all attempts that the runtime knows.
    Listed {
        /// When the list was requested.
        called_at: Time,
        /// The attempts.
        tasks: Vec<ListedAttempt>,
    },
}
