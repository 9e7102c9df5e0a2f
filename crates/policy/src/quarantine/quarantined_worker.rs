//! State of quarantined workers.

use toucanquay_model::Time;

/// Probe state of a worker in quarantine.
#[derive(Debug, Clone, Copy)]
pub(super) struct QuarantinedWorker {
    /// When the next probe may start.
    pub probe_at: Time,
    /// Time between two probes, in microseconds. It doubles with each failed probe.
    pub interval_micros: u64,
    /// Whether a probe is running whose outcome is not known yet.
    pub is_probing: bool,
    /// Consecutive successful probes.
    pub successes: u32,
}
