//! States of the breaker.

use toucanquay_model::Time;

/// Whether calls pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// All calls pass.
    Closed,
    /// No call passes.
    Open {
        /// When a probe may pass.
        until: Time,
    },
    /// A probe is under way.
    HalfOpen {
        /// When the probe is taken as lost.
        until: Time,
    },
}
