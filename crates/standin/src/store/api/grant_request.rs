//! Body of a lease grant.

use serde::Deserialize;

/// How long the lease lives without being kept alive.
#[derive(Debug, Deserialize)]
pub(super) struct GrantRequest {
    pub(super) ttl_ms: u64,
}
