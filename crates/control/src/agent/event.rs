//! Events of a task runtime.

use toucanquay_model::{Attempt, Time, task};

use super::{ListedAttempt, Outcome};

/// A result or message of the worker's task runtime.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The state of one attempt.
    Task {
        /// Task within which `attempt` is unique.
        task: task::Id,
        /// Attempt that the runtime was called for.
        attempt: Attempt,
        /// State that follows from the call's result; unknown if a start was not answered.
        outcome: Outcome,
    },
    /// A list of all attempts that the runtime knows.
    Listed {
        /// When the list was requested.
        called_at: Time,
        /// All attempts that the runtime knows, ended ones included.
        tasks: Vec<ListedAttempt>,
    },
}
