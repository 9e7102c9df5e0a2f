//! Settings of a companion's table.

use toucanquay_model::Incarnation;

/// Settings of a [`Runner`](super::Runner).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of the host.
    pub host: String,
    /// Incarnation of this process.
    pub process: Incarnation,
    /// Length of the worker's lease from the sending of an update, in microseconds.
    pub lease_micros: u64,
    /// Least time that a lease must have left for a start, in microseconds.
    pub start_lease_micros_min: u64,
    /// Time after which a start without an outcome is stopped, in microseconds.
    ///
    /// The worker's list may show within this time that the start took effect.
    pub start_outcome_micros: u64,
    /// Time after which a stop without an outcome is repeated, in microseconds.
    pub retry_micros: u64,
}

impl Settings {
    /// Returns settings with the given lease, in microseconds.
    #[must_use]
    pub const fn new(host: String, process: Incarnation, lease_micros: u64) -> Self {
        Self {
            host,
            process,
            lease_micros,
            start_lease_micros_min: 1_000_000,
            start_outcome_micros: 1_200_000,
            retry_micros: 500_000,
        }
    }
}
