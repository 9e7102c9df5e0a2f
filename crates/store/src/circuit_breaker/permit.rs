//! Permission to send a call.

/// Permission to send one call. It goes back to the breaker with the outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// Number of the breaker's state when the call was admitted.
    pub(super) generation: u64,
    /// Whether this is the only call that is let through, to find out whether the store answers.
    pub is_probe: bool,
}
