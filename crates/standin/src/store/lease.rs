//! Leases.

use std::time::Duration;

use tokio::time::Instant;

/// A lease and the time at which it expires unless kept alive.
#[derive(Debug, Clone)]
pub(super) struct Lease {
    pub(super) ttl: Duration,
    pub(super) deadline: Instant,
}
