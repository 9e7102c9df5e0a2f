//! An order to stop an attempt.

use serde::{Deserialize, Serialize};

use crate::graph::Task;

/// Requests that an attempt be stopped, or never started if it has not been yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stop {
    /// Task within which `attempt` is unique.
    pub task: Task,
    /// Number of the attempt, as in its [`Start`](super::Start).
    pub attempt: u64,
}
