//! Running tasks.

use toucanquay_model::{Resources, Time};

/// A task that is running or has been assigned.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub reservation: Resources,
    pub started_at: Time,
    /// Total run time of earlier attempts, in microseconds.
    pub earlier_micros: u64,
    /// Service charged to the job at the start, in processor-microseconds.
    pub charged: u64,
    /// Whether the task counts as long.
    pub is_long: bool,
    /// Time from which the task counts as long.
    pub long_at: Time,
}
