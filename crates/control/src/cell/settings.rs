//! Settings of a cell owner.

use toucanquay_model::Time;

/// Lease, waiting times and bounds of a cell owner. Times are in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Length of a lease, counted by the companion from the sending of its report.
    pub lease_micros: u64,
    /// What the owner adds to the lease before it takes an attempt for ended. It covers clocks
    /// whose rates differ by up to 4 % each over a lease of 10 s.
    pub lease_margin_micros: u64,
    /// How long an answer is held back when there is nothing to order.
    pub answer_delay_micros: u64,
    /// Shortest time between two writes of one segment.
    pub commit_interval_micros: u64,
    /// How long new jobs are refused after a write has failed.
    pub store_retry_delay_micros: u64,
    /// Failures of one task after which it has failed for good.
    pub failures_max: u8,
    /// Wait before the second attempt at a failed task; it doubles with each failure.
    pub backoff_micros: u64,
    /// Longest wait before another attempt.
    pub backoff_micros_max: u64,
    /// How long a worker that refused a grant gets no other.
    pub refusal_delay_micros: u64,
    /// How long a job that is over is kept, so that a repeated submission finds it.
    pub retention_micros: u64,
    /// How long a silent worker without tasks is kept.
    pub worker_timeout_micros: u64,
    /// Most attempts that are granted in one step.
    pub grants_per_tick_max: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease_micros: 10_000_000,
            lease_margin_micros: 1_000_000,
            answer_delay_micros: 1_000_000,
            commit_interval_micros: 100_000,
            store_retry_delay_micros: 2_000_000,
            failures_max: 4,
            backoff_micros: 1_000_000,
            backoff_micros_max: 60_000_000,
            refusal_delay_micros: 1_000_000,
            retention_micros: 3_600_000_000,
            worker_timeout_micros: 60_000_000,
            grants_per_tick_max: 1_000,
        }
    }
}

impl Settings {
    /// Returns until when an attempt may run whose worker's report arrived at `received_at`.
    pub(super) const fn lease_end_bound(&self, received_at: Time) -> Time {
        received_at.plus_micros(self.lease_micros.saturating_add(self.lease_margin_micros))
    }

    /// Returns the wait after failure number `failures`, which starts at one.
    pub(super) fn backoff(&self, failures: u8) -> u64 {
        let doublings = u32::from(failures.saturating_sub(1)).min(20);
        self.backoff_micros
            .saturating_mul(1 << doublings)
            .min(self.backoff_micros_max)
    }
}
