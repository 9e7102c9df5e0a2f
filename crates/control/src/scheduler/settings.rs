//! Scheduler settings.

use toucanquay_model::Time;

/// Safety margin that is added to a lease before its end is relied on, in microseconds.
pub(crate) const LEASE_MARGIN_MICROS: u64 = 400_000;

/// Durations and limits of a [`Scheduler`](super::Scheduler).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Duration of a worker's lease, counted from the time at which its agent sent an update, in
    /// microseconds.
    pub lease_micros: u64,
    /// Safety margin that is added to a lease before its end is relied on, in microseconds.
    pub lease_margin_micros: u64,
    /// Maximum time between two messages to a connected agent, in microseconds.
    pub heartbeat_interval_micros: u64,
    /// Minimum time between two commits, in microseconds.
    pub commit_interval_micros: u64,
    /// Maximum number of jobs in one commit.
    pub commit_jobs_max: usize,
    /// Time for which a job is kept after its end, in microseconds.
    pub retention_micros: u64,
    /// Interval between removals of expired jobs, in microseconds.
    pub sweep_interval_micros: u64,
    /// Delay before the task of a rejected attempt is placed again, in microseconds.
    pub retry_delay_micros: u64,
    /// Time for which a host is avoided whose agent has rejected a start, in microseconds.
    pub rejection_avoidance_micros: u64,
    /// Maximum delay before a failed perpetual task is placed again, in microseconds.
    pub backoff_micros_max: u64,
    /// Number of distinct jobs that fail on a worker in a row before the worker is avoided.
    pub failing_jobs_max: usize,
    /// Time for which a failing worker is avoided, in microseconds.
    pub avoidance_micros: u64,
    /// Time since the last confirmation that a zone isn't evacuated, from which on nothing is started
    /// there, in microseconds. `None` if zones aren't evacuated.
    pub evacuation_age_micros_max: Option<u64>,
    /// Run time of a task on another rack than the one that holds its data, or of a gang that prefers
    /// one rack on several, as a percentage of the run time otherwise. With 100 no task waits for a
    /// rack.
    pub far_percent: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease_micros: 6_000_000,
            lease_margin_micros: LEASE_MARGIN_MICROS,
            heartbeat_interval_micros: 400_000,
            commit_interval_micros: 25_000,
            commit_jobs_max: 15,
            retention_micros: 180_000_000,
            sweep_interval_micros: 5_000_000,
            retry_delay_micros: 50_000,
            rejection_avoidance_micros: 500_000,
            backoff_micros_max: 1_000_000,
            failing_jobs_max: 3,
            avoidance_micros: 3_000_000,
            evacuation_age_micros_max: None,
            far_percent: 100,
        }
    }
}

impl Settings {
    /// Returns an upper bound for the end of the lease that counts from an update received at
    /// `received_at`.
    pub(super) const fn lease_end_bound(&self, received_at: Time) -> Time {
        received_at.plus_micros(self.lease_micros.saturating_add(self.lease_margin_micros))
    }
}
