//! An order to stop an attempt.

use serde::{Deserialize, Serialize};

use crate::graph::Task;

/// Requests that an attempt be stopped, or never started if it has not been yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stop {
    /// The task.
    pub task: Task,
    /// The attempt.
    pub attempt: u64,
}
