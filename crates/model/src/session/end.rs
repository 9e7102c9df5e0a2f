//! The end of an attempt.

use serde::{Deserialize, Serialize};

use super::Ending;
use crate::graph::Task;

/// The end of an attempt, repeated until the owner acknowledges it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Number of the end, from 1 in each incarnation of the worker.
    pub number: u64,
    /// The task.
    pub task: Task,
    /// The attempt.
    pub attempt: u64,
    /// How it ended.
    pub ending: Ending,
    /// Last checkpoint.
    pub checkpoint: Option<String>,
}
