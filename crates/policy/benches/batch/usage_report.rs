//! Delayed usage reports.

use toucanquay_model::exchange::{ServiceUsage, TaskUsage};

/// Usage report in transit.
#[derive(Debug)]
pub struct UsageReport {
    /// Time of delivery, in microseconds.
    pub due_at: u64,
    pub host: usize,
    pub tasks: Vec<TaskUsage>,
    pub service: ServiceUsage,
}
