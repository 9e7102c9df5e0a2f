//! The owner's record in the store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use toucanquay_model::{Epoch, Incarnation};

/// One term of ownership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Term {
    pub(super) epoch: Epoch,
    /// Name of the owner's host.
    pub(super) holder: String,
    /// Incarnation of the owner's process.
    pub(super) process: Incarnation,
    pub(super) address: SocketAddr,
    /// The owner has released ownership.
    pub(super) is_released: bool,
    /// Number of renewals, so that each renewal changes the value.
    pub(super) renewals: u64,
}

impl Term {
    pub(super) fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a term always serializes to JSON")
    }

    pub(super) fn from_bytes(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}
