//! Address of a companion.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use toucanquay_model::Incarnation;

/// Where a companion takes sessions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// Its address.
    pub address: SocketAddr,
    /// Incarnation of its process.
    pub process: Incarnation,
}

impl Address {
    /// Returns the value that stands in the store.
    #[must_use]
    pub fn to_bytes(self) -> Vec<u8> {
        serde_json::to_vec(&self).expect("an address is plain data")
    }

    /// Reads a value out of the store.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}
