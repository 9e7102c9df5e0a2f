//! An order to start an attempt.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Profile;
use crate::graph::Task;

/// An order to start an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The task.
    pub task: Task,
    /// The attempt; it grows with each start of the task.
    pub attempt: u64,
    /// Text that is handed to the task.
    pub payload: Arc<str>,
    /// Checkpoint to resume from.
    pub checkpoint: Option<String>,
    /// What it occupies.
    pub profile: Profile,
}
