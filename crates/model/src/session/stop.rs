//! An order to stop an attempt.

use serde::{Deserialize, Serialize};

use crate::graph::Task;

/// An order to stop an attempt, or to make sure that it never starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stop {
    /// The task.
    pub task: Task,
    /// The attempt.
    pub attempt: u64,
}
