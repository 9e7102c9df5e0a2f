//! States of an attempt on its worker.

use serde::{Deserialize, Serialize};

/// State of an attempt as observed by its companion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// The start request was sent to the worker's task runtime and is not yet confirmed.
    Starting,
    /// The attempt is running.
    Running,
    /// The stop request was sent to the worker's task runtime and is not yet confirmed.
    Stopping,
    /// The attempt was stopped before completion and can be resumed from its checkpoint.
    Stopped {
        /// Checkpoint to resume from, if one was taken.
        checkpoint: Option<String>,
    },
    /// The attempt completed.
    Finished,
    /// The attempt failed with an error of the task itself.
    Failed {
        /// Error reported by the task.
        reason: String,
    },
    /// The attempt was never started.
    Refused {
        /// Reason for the refusal.
        reason: Refusal,
    },
}

impl TaskState {
    /// Returns whether the attempt holds resources of the worker.
    #[must_use]
    pub const fn holds_resources(&self) -> bool {
        matches!(self, Self::Starting | Self::Running | Self::Stopping)
    }
}

/// Reason why a companion refuses a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The worker has too few free resources.
    NoRoom,
    /// The companion was restarted and does not yet know all running tasks.
    Settling,
    /// Another attempt of the same task still holds resources of the worker.
    SameTask,
    /// The worker is leaving.
    Leaving,
    /// The team is leaving according to the companion's configuration.
    TeamLeaving,
    /// A newer configuration exists than the one the companion holds.
    StaleConfiguration,
    /// The task runtime refused to start the attempt.
    Runtime,
}
