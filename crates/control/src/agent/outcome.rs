//! What became of an attempt at a task runtime.

use toucanquay_model::{Time, exchange::TaskState};

/// What a task runtime says of one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It runs.
    Started,
    /// The start was refused for good and will not take effect later.
    StartRefused,
    /// The start has no answer, so it may or may not take effect.
    StartUnanswered,
    /// It ran to its end.
    Finished,
    /// It ended with an error of its own.
    Failed {
        /// The error.
        reason: String,
    },
    /// It has stopped before its end.
    Stopped {
        /// Checkpoint to resume from, if one was taken.
        checkpoint: Option<String>,
    },
    /// The runtime does not know it, in the answer to a call.
    Absent {
        /// When the call was made. The answer can arrive after that of a start which it overtook.
        called_at: Time,
    },
}

impl Outcome {
    /// Returns what a listed state says, or `None` when it says nothing that is settled.
    pub(super) fn from_state(state: TaskState) -> Option<Self> {
        match state {
            TaskState::Starting | TaskState::Stopping => None,
            TaskState::Running => Some(Self::Started),
            TaskState::Stopped { checkpoint } => Some(Self::Stopped { checkpoint }),
            TaskState::Finished => Some(Self::Finished),
            TaskState::Failed { reason } => Some(Self::Failed { reason }),
            TaskState::Refused { .. } => Some(Self::StartRefused),
        }
    }
}
