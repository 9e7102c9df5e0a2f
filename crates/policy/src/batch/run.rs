//! Running tasks.

use toucanquay_model::{Resources, Time};

/// A task that runs or is about to.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub reservation: Resources,
    pub started: Time,
    /// Run time of earlier attempts, in microseconds.
    pub earlier_micros: u64,
    /// Service that was charged to the job at the start, in processor-microseconds.
    pub charged: u64,
    /// Whether it counts as long work.
    pub is_long: bool,
    /// When it turns into long work.
    pub long_at: Time,
}
