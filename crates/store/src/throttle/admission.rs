//! Admission of calls.

use crate::circuit_breaker::Permit;

/// Decision about a call whose reserved time has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The call may be sent.
    Admitted(Permit),
    /// The breaker refuses the call.
    Refused,
    /// An outage has ended since the time was reserved; the call must reserve a new one.
    Invalidated,
}
