//! How an attempt ended.

use serde::{Deserialize, Serialize};

/// How an attempt ended on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ending {
    /// The task is done.
    Done,
    /// The attempt failed, through the task's fault or the worker's.
    Failed,
    /// It was stopped on request.
    Stopped,
    /// Its lease expired.
    Expired,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for the other members of its gang.
    Alone,
    /// The worker's process ended, or no longer knows the attempt.
    Lost,
}
