//! Body of a call that grants a lease.

use serde::Deserialize;

/// Time after which the lease expires unless it is kept alive.
#[derive(Debug, Deserialize)]
pub(super) struct GrantRequest {
    pub(super) ttl_ms: u64,
}
