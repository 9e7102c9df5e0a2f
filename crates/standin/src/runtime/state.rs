//! States of a task.

use serde::{Deserialize, Serialize};

/// State of a task in the runtime.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It runs.
    Running,
    /// It ran to its end.
    Finished,
    /// It ended with an error of its own.
    Failed,
    /// It was stopped by a call.
    Stopped,
    /// It was stopped because its lease deadline passed.
    Lapsed,
}
