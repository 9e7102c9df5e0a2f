//! State of a job as clients see it.

use serde::{Deserialize, Serialize};

/// What became of a job so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Done,
    /// A task has failed too often.
    Failed,
    /// The client cancelled the job.
    Cancelled,
}

impl State {
    /// Tells whether the state is final.
    #[must_use]
    pub const fn is_over(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }
}
