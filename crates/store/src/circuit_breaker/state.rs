//! States of the circuit breaker.

use toucanquay_model::Time;

/// State of a circuit breaker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// All calls are admitted.
    Closed,
    /// No call is admitted.
    Open {
        /// When a probe may be admitted.
        until: Time,
    },
    /// A probe is in flight.
    HalfOpen {
        /// When the probe is considered lost.
        until: Time,
    },
}
