//! How an attempt ended.

use serde::{Deserialize, Serialize};

/// How an attempt ended on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ending {
    /// The task completed.
    Done,
    /// The attempt failed because of the task or the worker.
    Failed,
    /// The attempt was stopped on request.
    Stopped,
    /// The lease of the attempt expired.
    Expired,
    /// Another member of its gang ended.
    Broken,
    /// Waiting for the other members of the gang timed out.
    Alone,
    /// The worker process ended or no longer knows the attempt.
    Lost,
}
