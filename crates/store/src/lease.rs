//! Leases.

use tokio::time::Instant;

/// A lease that the store has granted or kept alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The id that the store has assigned.
    pub id: u64,
    /// Earliest time at which the lease may expire: the time at which the request was sent plus
    /// the time to live.
    pub deadline: Instant,
}
