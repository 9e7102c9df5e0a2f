//! Usage reports.

use toucanquay_model::exchange::{ServiceUsage, TaskUsage};

/// Usage report on its way.
#[derive(Debug)]
pub struct UsageReport {
    pub due_at: u64,
    pub host: usize,
    pub tasks: Vec<TaskUsage>,
    pub service: ServiceUsage,
}
