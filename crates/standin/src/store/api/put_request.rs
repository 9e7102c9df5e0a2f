//! Body of a write.

use serde::Deserialize;

/// Value to write, with the expected revision of the key and the lease to attach it to.
#[derive(Debug, Deserialize)]
pub(super) struct PutRequest {
    pub(super) value: String,
    pub(super) expected: Option<u64>,
    pub(super) lease: Option<u64>,
}
