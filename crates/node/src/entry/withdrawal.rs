//! Record of a cancelled identifier.

use serde::{Deserialize, Serialize};

/// Record under the key of a job that was cancelled before it was stored. While it stands, no
/// submission of that identifier can take effect, however late.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Withdrawal {
    /// Time of the cancelling, in milliseconds since the Unix epoch.
    withdrawn_unix_ms: u64,
}

impl Withdrawal {
    pub(super) const fn new(withdrawn_unix_ms: u64) -> Self {
        Self { withdrawn_unix_ms }
    }

    /// Returns whether the value of a job's key is a withdrawal.
    pub(super) fn is_in(value: &[u8]) -> bool {
        serde_json::from_slice::<Self>(value).is_ok()
    }

    pub(super) fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a number always serializes to JSON")
    }
}
