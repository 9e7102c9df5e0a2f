//! Registration of a companion in the store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use toucanquay_model::Incarnation;

/// A companion process and the address at which it accepts sessions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Listen address.
    pub address: SocketAddr,
    /// Incarnation of its process.
    pub process: Incarnation,
}

impl Registration {
    /// Encodes the registration for the store.
    #[must_use]
    pub fn to_bytes(self) -> Vec<u8> {
        serde_json::to_vec(&self).expect("a registration always serializes to JSON")
    }

    /// Decodes a registration from the store. Returns `None` if the value is malformed.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}
