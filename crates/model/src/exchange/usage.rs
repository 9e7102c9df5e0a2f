//! Lagging measurements.

use serde::{Deserialize, Serialize};

use crate::{Attempt, task};

/// Resources that an attempt used in a window of time that has passed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskUsage {
    /// The task.
    pub task: task::Id,
    /// The attempt.
    pub attempt: Attempt,
    /// How long before the sending of the report the window ended, in microseconds.
    pub age_micros: u64,
    /// Length of the window, in microseconds.
    pub window_micros: u64,
    /// Mean use of processors, in thousandths.
    pub processors_milli: u32,
    /// Peak use of memory, in megabytes.
    pub memory_mb: u32,
}

/// How a latency-critical service behaved in a window of time that has passed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceUsage {
    /// Name of the service.
    pub service: String,
    /// How long before the sending of the report the window ended, in microseconds.
    pub age_micros: u64,
    /// Length of the window, in microseconds.
    pub window_micros: u64,
    /// Requests that ended in the window.
    pub requests: u32,
    /// Median latency at the upstream, in microseconds.
    pub p50_micros: u32,
    /// 99th percentile of the latency at the upstream, in microseconds.
    pub p99_micros: u32,
    /// Highest number of requests in flight.
    pub in_flight_max: u32,
}
