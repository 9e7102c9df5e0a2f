//! Settings of a runner.

use toucanquay_model::{Incarnation, Time};

/// Settings of a [`Runner`](super::Runner).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of the host.
    pub host: String,
    /// Incarnation of this process.
    pub process: Incarnation,
    /// Length of the worker's lease, counted from the sending of the update that the owner's orders
    /// answer, in microseconds.
    pub lease_micros: u64,
    /// When this process started. Before that, a former one may have renewed the worker's lease.
    /// [`Time::NEVER`] if unknown.
    pub started_at: Time,
    /// Time from a request for a list within which its response is processed, in microseconds. It
    /// covers the long poll. After that, this process may have been suspended in between.
    pub list_micros_max: u64,
    /// Time since the last list after which a worker that leaves requests for it unanswered is
    /// silent, in microseconds.
    pub silence_micros: u64,
    /// Minimum remaining time of the lease for a start, in microseconds.
    pub start_lease_micros_min: u64,
    /// Time after which a start without an outcome is resolved by a stop, in microseconds.
    ///
    /// Until then, a list may show that the start took effect.
    pub start_outcome_micros: u64,
    /// Time after which a stop or a pace that was refused or not answered is repeated, in
    /// microseconds.
    pub retry_micros: u64,
    /// Time for which a pace is not changed while a call that sets it has no outcome, in
    /// microseconds. It exceeds the timeout of the call.
    pub pace_call_micros: u64,
    /// Time after which a call without an answer takes no effect any more, in microseconds.
    pub late_call_micros: u64,
    /// Interval at which a pace is set again while an unanswered call may still set another one, in
    /// microseconds.
    pub pace_confirmation_micros: u64,
    /// Time for which an attempt that the worker has begun is a suspect if the worker crashes, in
    /// microseconds.
    pub start_risk_micros: u64,
    /// Time after which a call for which the worker had no time is repeated, in microseconds.
    pub unavailable_retry_micros: u64,
    /// Time after which a stop that was carried out is repeated if the attempt is still on the
    /// worker, in microseconds. It covers the time that a stop takes and the next list.
    pub stop_confirmation_micros: u64,
}

impl Settings {
    /// Returns settings with the given lease, in microseconds.
    #[must_use]
    pub const fn new(host: String, process: Incarnation, lease_micros: u64) -> Self {
        Self {
            host,
            process,
            lease_micros,
            started_at: Time::NEVER,
            list_micros_max: 600_000,
            silence_micros: 1_500_000,
            start_lease_micros_min: 1_000_000,
            start_outcome_micros: 1_200_000,
            retry_micros: 500_000,
            pace_call_micros: 3_000_000,
            late_call_micros: 12_000_000,
            pace_confirmation_micros: 2_000_000,
            start_risk_micros: 250_000,
            unavailable_retry_micros: 100_000,
            stop_confirmation_micros: 2_000_000,
        }
    }

    /// Sets when this process started.
    #[must_use]
    pub const fn started_at(mut self, now: Time) -> Self {
        self.started_at = now;
        self
    }
}
