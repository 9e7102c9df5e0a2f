//! What a throttle says to a call.

use crate::circuit_breaker::Permit;

/// Answer to a call whose reserved time has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The call may be sent.
    Admitted(Permit),
    /// The breaker refuses the call.
    Refused,
    /// An outage has ended since the time was reserved: reserve another one.
    Invalidated,
}
