//! Measurements over past time windows.

use serde::{Deserialize, Serialize};

use crate::{Attempt, task};

/// Resources that an attempt used in a past time window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskUsage {
    /// Task that the attempt ran in the window.
    pub task: task::Id,
    /// Attempt that was measured, as granted by the owner of its epoch.
    pub attempt: Attempt,
    /// Time from the end of the window to the sending of the report, in microseconds.
    pub age_micros: u64,
    /// Length of the window, in microseconds.
    pub window_micros: u64,
    /// Mean processor usage, in thousandths of a processor.
    pub processors_milli: u32,
    /// Peak memory usage, in megabytes.
    pub memory_mb: u32,
}

/// Load and latency of a latency-critical service in a past time window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceUsage {
    /// Name of the service.
    pub service: String,
    /// Time from the end of the window to the sending of the report, in microseconds.
    pub age_micros: u64,
    /// Length of the window, in microseconds.
    pub window_micros: u64,
    /// Number of requests that ended in the window.
    pub requests: u32,
    /// Median upstream latency, in microseconds.
    pub p50_micros: u32,
    /// 99th percentile of the upstream latency, in microseconds.
    pub p99_micros: u32,
    /// Maximum number of requests in flight.
    pub in_flight_max: u32,
}
