//! Value of a claim.

use serde::{Deserialize, Serialize};

use crate::forward::{ClientRequest, Target};

/// Value of the key `claim/<service>/<idempotency key>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request that may run for the key, as 32 hexadecimal digits.
    pub request: String,
    /// Where it may run.
    pub target: Target,
    /// Digest of method, path, query and body, by which another request is told from a repeat.
    pub digest: String,
}

impl Record {
    /// Returns the claim of `call` at `target`.
    #[must_use]
    pub fn new(client_request: &ClientRequest, target: Target) -> Self {
        Self {
            request: client_request.id.to_string(),
            target,
            digest: digest(client_request),
        }
    }

    /// Tells whether `call` repeats the claimed request.
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
        // The length keeps the borders of the parts apart.
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let bytes = hasher.finalize();
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
