//! Status of an attempt on its agent.

use serde::{Deserialize, Serialize};

use super::Rejection;
use crate::graph::Task;

/// Status of an attempt that an agent tracks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptStatus {
    /// Task within which `attempt` is unique.
    pub task: Task,
    /// Number of the attempt, as in its [`Start`](super::Start).
    pub attempt: u64,
    /// Phase of the attempt.
    pub phase: Phase,
    /// Last checkpoint, if any.
    pub checkpoint: Option<String>,
    /// Completed share of the work, in percent; 100 for a perpetual task that is serving.
    pub done_percent: u8,
    /// Current tail latency in milliseconds for a latency-sensitive task; processors in use, in
    /// thousandths, for any other task.
    pub gauge: u32,
    /// Lowest average of `gauge` observed for the attempt.
    pub gauge_min: u32,
    /// Share of full speed that the agent currently allows, in percent.
    pub pace_percent: u8,
    /// Whether the worker has outlived the start of the attempt, so that the attempt is no longer a
    /// suspect if the worker crashes.
    pub has_survived_start: bool,
}

/// Phase of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// The start request was sent and its outcome is not yet known.
    Starting,
    /// The attempt is running.
    Running,
    /// The attempt was told to stop and still holds resources of the worker.
    Stopping,
    /// The attempt was not started and never will be.
    Rejected(Rejection),
}
