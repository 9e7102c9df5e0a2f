//! The response to a lease grant.

use serde::Deserialize;

/// The id that the store has assigned to the lease.
#[derive(Debug, Deserialize)]
pub(crate) struct WireLease {
    pub(crate) lease: u64,
}
