//! The answer to a lease grant.

use serde::Deserialize;

/// The store's number for the lease.
#[derive(Debug, Deserialize)]
pub(crate) struct WireLease {
    pub(crate) lease: u64,
}
