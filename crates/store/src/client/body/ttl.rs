//! The response to a keep-alive.

use serde::Deserialize;

/// The time until the renewed lease expires.
#[derive(Debug, Deserialize)]
pub(crate) struct WireTtl {
    pub(crate) ttl_ms: u64,
}
