//! Registered address of a companion.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use toucanquay_model::Incarnation;

/// Address at which a companion accepts sessions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Listen address.
    pub address: SocketAddr,
    /// Incarnation of its process.
    pub process: Incarnation,
}

impl Registration {
    /// Encodes the address for the store.
    #[must_use]
    pub fn to_bytes(self) -> Vec<u8> {
        serde_json::to_vec(&self).expect("an address always serializes to JSON")
    }

    /// Decodes an address from the store. Returns `None` if the value is malformed.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}
