//! Attempt that may have crashed a worker.

use serde::{Deserialize, Serialize};

use crate::graph::Task;

/// Attempt that had only just started when its worker crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Suspect {
    /// Task within which `attempt` is unique.
    pub task: Task,
    /// Number of the attempt, as in its [`Start`](super::Start).
    pub attempt: u64,
    /// Whether the worker had confirmed the start. Otherwise it may not have begun the attempt.
    pub is_started: bool,
}
