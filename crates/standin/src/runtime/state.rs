//! State of a task.

use serde::{Deserialize, Serialize};

/// State of a task in the runtime.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The task is running.
    Running,
    /// The task completed its work.
    Finished,
    /// The task ended with an error.
    Failed,
    /// A call stopped the task.
    Stopped,
    /// The runtime stopped the task because its lease deadline passed.
    Lapsed,
}
