//! Leases.

use tokio::time::Instant;

/// A lease that the store has granted or kept alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The store's number for it.
    pub id: u64,
    /// When it may expire at the earliest: the time at which the call was sent, plus the time to
    /// live.
    pub deadline: Instant,
}
