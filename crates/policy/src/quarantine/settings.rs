//! Quarantine settings.

/// Settings of a [`Quarantine`](super::Quarantine).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Minimum decayed count of unexplained failures that puts a worker into quarantine.
    pub failures_min: f64,
    /// Minimum share of unexplained failures among a worker's outcomes that puts it into
    /// quarantine.
    pub failure_share_min: f64,
    /// Distinct workers on which a job must fail before it counts as faulty.
    pub failing_workers_min: usize,
    /// Maximum share of the workers that may be in quarantine at once.
    pub quarantined_share_max: f64,
    /// Time from the start of a quarantine to the first probe, in microseconds.
    pub probe_interval_micros: u64,
    /// Maximum time between two probes, in microseconds.
    pub probe_interval_max_micros: u64,
    /// Consecutive successful probes that end a quarantine.
    pub probe_successes_min: u32,
    /// Half-life of an outcome's weight, in microseconds.
    pub half_life_micros: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            failures_min: 2.5,
            failure_share_min: 0.7,
            failing_workers_min: 3,
            quarantined_share_max: 0.25,
            probe_interval_micros: 30_000_000,
            probe_interval_max_micros: 900_000_000,
            probe_successes_min: 2,
            half_life_micros: 300_000_000,
        }
    }
}
