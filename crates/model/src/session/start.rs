//! An order to start an attempt.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Profile;
use crate::graph::Task;

/// Requests that an attempt be started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Task within which `attempt` is unique.
    pub task: Task,
    /// Number of the attempt, which increases with each start of the task.
    pub attempt: u64,
    /// Opaque text passed to the task.
    pub payload: Arc<str>,
    /// Checkpoint to resume from, if any.
    pub checkpoint: Option<String>,
    /// Resource profile of the attempt.
    pub profile: Profile,
    /// Whether the task is a suspect, so that the owner waits to learn whether the worker outlives
    /// the start.
    pub is_probe: bool,
}
