//! Settings of a cell owner.

use toucanquay_model::Time;

/// Lease, delays and limits of a cell owner. Times are in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Length of a lease. The companion counts it from the time at which it sends its report.
    pub lease_micros: u64,
    /// Time that the owner adds to a lease before it considers an attempt ended. It covers clocks
    /// whose rates each deviate by up to 4 % over a lease of 10 s.
    pub lease_margin_micros: u64,
    /// Delay of an answer that contains nothing urgent.
    pub answer_delay_micros: u64,
    /// Minimum time between two writes of one segment.
    pub commit_interval_micros: u64,
    /// Time for which new calls are refused after a failed write.
    pub store_retry_delay_micros: u64,
    /// Number of failures after which a task has failed permanently.
    pub failures_max: u8,
    /// Delay before a failed task is retried for the first time. It doubles with each failure.
    pub backoff_micros: u64,
    /// Maximum delay before a failed task is retried.
    pub backoff_micros_max: u64,
    /// Time for which a worker gets no grant after it refused one.
    pub refusal_delay_micros: u64,
    /// Time for which an ended job is kept, so that a repeated submission finds it.
    pub retention_micros: u64,
    /// Time without a report after which a worker without tasks is removed.
    pub worker_timeout_micros: u64,
    /// Maximum number of attempts that one tick grants.
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
    /// Returns the upper bound of the lease end of an attempt whose worker's report arrived at
    /// `received_at`.
    pub(super) const fn lease_end_bound(&self, received_at: Time) -> Time {
        received_at.plus_micros(self.lease_micros.saturating_add(self.lease_margin_micros))
    }

    /// Returns the delay after failure number `failures`, counted from one.
    pub(super) fn backoff(&self, failures: u8) -> u64 {
        let doublings = u32::from(failures.saturating_sub(1)).min(20);
        self.backoff_micros
            .saturating_mul(1 << doublings)
            .min(self.backoff_micros_max)
    }
}
