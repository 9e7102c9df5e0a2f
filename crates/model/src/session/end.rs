//! The end of an attempt.

use serde::{Deserialize, Serialize};

use super::Ending;
use crate::graph::Task;

/// The end of an attempt, sent repeatedly until the owner acknowledges it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Sequence number of the end, starting at 1 in each incarnation of the worker.
    pub number: u64,
    /// Task within which `attempt` is unique.
    pub task: Task,
    /// Number of the attempt, as in its [`Start`](super::Start).
    pub attempt: u64,
    /// How the attempt ended.
    pub ending: Ending,
    /// Last checkpoint, if any.
    pub checkpoint: Option<String>,
}
