//! Answers of the breaker.

use toucanquay_model::Time;

/// Whether a call may be sent. The number goes back to the breaker with the outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent.
    Admitted(u64),
    /// It may be sent, as the only one, to find out whether the store answers again.
    Probe(u64),
    /// It may not be sent.
    Refused {
        /// When the next probe may be sent.
        until: Time,
    },
}
