//! What a task runtime says.

use toucanquay_model::{Attempt, Time, task};

use super::{ListedAttempt, Outcome};

/// Something that the worker's task runtime has said.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// It said something of one attempt.
    Task {
        /// The task.
        task: task::Id,
        /// The attempt.
        attempt: Attempt,
        /// What became of it.
        outcome: Outcome,
    },
    /// It listed every attempt that it knows.
    Listed {
        /// When the list was asked for.
        called_at: Time,
        /// The attempts.
        tasks: Vec<ListedAttempt>,
    },
}
