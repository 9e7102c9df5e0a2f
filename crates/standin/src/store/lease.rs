//! Lease that keys are attached to.

use std::time::Duration;

use tokio::time::Instant;

/// Time to live of a lease, and the time at which it expires unless it is kept alive.
#[derive(Debug, Clone)]
pub(super) struct Lease {
    pub(super) ttl: Duration,
    pub(super) deadline: Instant,
}
