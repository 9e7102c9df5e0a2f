//! States of an attempt on its worker.

use serde::{Deserialize, Serialize};

/// State of an attempt, as its companion sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// The start was sent to the worker's task runtime and is not confirmed yet.
    Starting,
    /// It runs.
    Running,
    /// A stop was sent to the worker's task runtime and is not confirmed yet.
    Stopping,
    /// It has stopped before its end, with the checkpoint that it can be resumed from.
    Stopped {
        /// Checkpoint to resume from, if one was taken.
        checkpoint: Option<String>,
    },
    /// It ran to its end.
    Finished,
    /// It ended with an error of its own.
    Failed {
        /// The error.
        reason: String,
    },
    /// It was never started.
    Refused {
        /// Why.
        reason: Refusal,
    },
}

impl TaskState {
    /// Tells whether the attempt holds resources of the worker.
    #[must_use]
    pub const fn holds_resources(&self) -> bool {
        matches!(self, Self::Starting | Self::Running | Self::Stopping)
    }
}

/// Why a companion refuses a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The worker's free resources do not hold it.
    NoRoom,
    /// The companion was restarted and does not know all running tasks yet.
    Settling,
    /// Another attempt of the same task still holds resources of the worker.
    SameTask,
    /// The worker is leaving.
    Leaving,
    /// The team is leaving, by the companion's configuration.
    TeamLeaving,
    /// The companion knows of a newer configuration than it holds.
    StaleConfiguration,
    /// The task runtime refused to start it.
    Runtime,
}
