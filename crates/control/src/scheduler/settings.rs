//! Settings of a scheduler.

use toucanquay_model::Time;

/// Settings of a [`Scheduler`](super::Scheduler).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Length of a worker's lease from the sending of an update, in microseconds.
    pub lease_micros: u64,
    /// Time added to a lease before its end is relied on, in microseconds.
    pub lease_margin_micros: u64,
    /// Longest time between two messages to a connected agent, in microseconds.
    pub heartbeat_interval_micros: u64,
    /// Least time between two commits, in microseconds.
    pub commit_interval_micros: u64,
    /// Most jobs in one commit.
    pub commit_jobs_max: usize,
    /// Time for which a job that is over is remembered, in microseconds.
    pub retention_micros: u64,
    /// Time between two looks for jobs to forget, in microseconds.
    pub sweep_interval_micros: u64,
    /// Pause before a rejected attempt's task is placed again, in microseconds.
    pub retry_delay_micros: u64,
    /// Longest pause before a perpetual task that fails is placed again, in microseconds.
    pub backoff_micros_max: u64,
    /// Distinct jobs that fail on a worker in a row before it is avoided.
    pub failing_jobs_max: usize,
    /// Time for which a failing worker is avoided, in microseconds.
    pub avoidance_micros: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease_micros: 6_000_000,
            lease_margin_micros: 400_000,
            heartbeat_interval_micros: 400_000,
            commit_interval_micros: 25_000,
            commit_jobs_max: 15,
            retention_micros: 180_000_000,
            sweep_interval_micros: 5_000_000,
            retry_delay_micros: 50_000,
            backoff_micros_max: 1_000_000,
            failing_jobs_max: 3,
            avoidance_micros: 3_000_000,
        }
    }
}

impl Settings {
    /// Returns when a lease that counts from an update received at `received_at` has surely ended.
    pub(super) const fn lease_end_bound(&self, received_at: Time) -> Time {
        received_at.plus_micros(self.lease_micros.saturating_add(self.lease_margin_micros))
    }
}
