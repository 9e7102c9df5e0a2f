//! Body of a renewal.

use serde::Deserialize;

/// The attempt to renew, and how long its lease lasts from now.
#[derive(Debug, Deserialize)]
pub(super) struct RenewRequest {
    pub(super) epoch: u64,
    pub(super) number: u32,
    pub(super) lease_ms: u64,
}
