//! State of a job as shown to clients.

use serde::{Deserialize, Serialize};

/// Lifecycle state of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// No task has started.
    #[default]
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks are done.
    Done,
    /// A task has reached the maximum number of failed attempts.
    Failed,
    /// The client cancelled the job.
    Cancelled,
}

impl State {
    /// Returns whether the state is final.
    #[must_use]
    pub const fn is_over(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }
}
