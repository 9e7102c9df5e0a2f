//! Permits of the circuit breaker.

/// Permission to send one call. The caller returns it to the breaker with the outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// Generation of the breaker when the call was admitted.
    pub(super) generation: u64,
    /// Whether this call is a probe: the only one let through, to test whether the store responds.
    pub is_probe: bool,
}
