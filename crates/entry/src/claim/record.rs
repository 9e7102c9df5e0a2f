//! Stored value of a claim.

use serde::{Deserialize, Serialize};

use crate::forward::{ClientRequest, Target};

/// Value of the key `claim/<service>/<idempotency key>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Id of the request that may run for the key, as 32 hexadecimal digits.
    pub request: String,
    /// Companion that it may run on.
    pub target: Target,
    /// Digest of method, path, query and body, which distinguishes a repeat from another request.
    pub digest: String,
}

impl ClaimRecord {
    /// Returns the claim of `client_request` for `target`.
    #[must_use]
    pub fn new(client_request: &ClientRequest, target: Target) -> Self {
        Self {
            request: client_request.id.to_string(),
            target,
            digest: digest(client_request),
        }
    }

    /// Returns whether `client_request` repeats the claimed request.
    #[must_use]
    pub fn is_for(&self, client_request: &ClientRequest) -> bool {
        self.digest == digest(client_request)
    }
}

fn digest(client_request: &ClientRequest) -> String {
    use sha2::{Digest, Sha256};
    let mut hasher = Sha256::new();
    for part in [
        client_request.method.as_bytes(),
        client_request.target.as_bytes(),
        &client_request.body,
    ] {
        // The length prefix makes the boundaries between the parts unambiguous.
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let bytes = hasher.finalize();
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
