//! Body of a write.

use serde::Deserialize;

/// What to write, and under which condition.
#[derive(Debug, Deserialize)]
pub(super) struct PutRequest {
    pub(super) value: String,
    pub(super) expected: Option<u64>,
    pub(super) lease: Option<u64>,
}
