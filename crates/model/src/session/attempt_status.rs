//! An attempt in an agent's table.

use serde::{Deserialize, Serialize};

use super::Rejection;
use crate::graph::Task;

/// An attempt that an agent holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptStatus {
    /// The task.
    pub task: Task,
    /// The attempt.
    pub attempt: u64,
    /// Where it stands.
    pub phase: Phase,
    /// Last checkpoint.
    pub checkpoint: Option<String>,
    /// Share of its work that is done, in percent; 100 for a perpetual task that serves.
    pub done_percent: u8,
    /// Present tail latency in milliseconds for a sensitive task, else thousandths of a processor
    /// in use.
    pub gauge: u32,
    /// Lowest average of that figure that the attempt has shown.
    pub gauge_min: u32,
    /// Share of its speed that the agent allows, in percent.
    pub pace_percent: u8,
}

/// Where an attempt stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// The start was sent, and its outcome is not known.
    Starting,
    /// It runs.
    Running,
    /// It was told to stop and still occupies the worker.
    Stopping,
    /// It was not started and never will be.
    Rejected(Rejection),
}
