//! Body of a lease renewal.

use serde::Deserialize;

/// Attempt whose lease to renew, and the duration of the lease from the arrival of the call.
#[derive(Debug, Deserialize)]
pub(super) struct RenewRequest {
    pub(super) epoch: u64,
    pub(super) number: u32,
    pub(super) lease_ms: u64,
}
