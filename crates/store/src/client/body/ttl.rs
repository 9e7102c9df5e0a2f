//! The answer to a keep-alive.

use serde::Deserialize;

/// How long the lease lives from now.
#[derive(Debug, Deserialize)]
pub(crate) struct WireTtl {
    pub(crate) ttl_ms: u64,
}
