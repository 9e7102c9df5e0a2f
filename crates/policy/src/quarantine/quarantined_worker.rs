//! State of a worker in quarantine.

use toucanquay_model::Time;

/// Progress of a worker's quarantine.
#[derive(Debug, Clone, Copy)]
pub(super) struct QuarantinedWorker {
    /// When the next probe may start.
    pub probe_at: Time,
    /// Time between two probes, in microseconds; it doubles with each failed one.
    pub interval_micros: u64,
    /// Whether a probe runs whose outcome is not known yet.
    pub is_probing: bool,
    /// Successful probes in a row.
    pub successes: u32,
}
