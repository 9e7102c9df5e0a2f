//! Entries that can become the owner.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use toucanquay_model::Incarnation;

/// Registration of an entry in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Candidate {
    /// Address for connections from other entries.
    pub(super) address: SocketAddr,
    /// Incarnation of its process.
    pub(super) process: Incarnation,
    /// Capacity of its host for the owner's work.
    pub(super) capacity: u32,
}

impl Candidate {
    pub(super) fn to_bytes(self) -> Vec<u8> {
        serde_json::to_vec(&self).expect("a candidate always serializes to JSON")
    }

    pub(super) fn from_bytes(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}
