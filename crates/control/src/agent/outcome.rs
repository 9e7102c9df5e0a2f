//! Outcomes of attempts at a task runtime.

use toucanquay_model::{Time, exchange::TaskState};

/// State of an attempt as the task runtime has reported it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The attempt is running.
    Started,
    /// The start was refused and will not take effect later.
    StartRefused,
    /// The start was not answered, so it may or may not take effect.
    StartUnanswered,
    /// The task has finished.
    Finished,
    /// The task has failed.
    Failed {
        /// Description of the error.
        reason: String,
    },
    /// The attempt was stopped before the task finished.
    Stopped {
        /// Checkpoint to resume from, if one was taken.
        checkpoint: Option<String>,
    },
    /// The runtime did not know the attempt when it was called.
    Absent {
        /// When the call was made. Its answer can arrive after the answer to a start that it
        /// overtook.
        called_at: Time,
    },
}

impl Outcome {
    /// Returns the outcome that a listed state stands for, or `None` for a transitional state.
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
