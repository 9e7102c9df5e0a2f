//! Measurements of resource usage.

use serde::Serialize;
use tokio::time::Instant;

/// Resource usage of the running tasks at one point in time.
#[derive(Debug, Clone)]
pub(super) struct UsageSample {
    pub(super) taken_at: Instant,
    pub(super) tasks: Vec<TaskUsage>,
}

/// Resource usage of one task.
#[derive(Debug, Clone, Serialize)]
pub(super) struct TaskUsage {
    pub(super) job: String,
    pub(super) index: u32,
    pub(super) epoch: u64,
    pub(super) number: u32,
    pub(super) processors_milli: u32,
    pub(super) memory_mb: u32,
}
