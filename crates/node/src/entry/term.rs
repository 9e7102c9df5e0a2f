//! The owner's record in the store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use toucanquay_model::{Epoch, Incarnation};

/// Maximum epoch: attempt numbers leave it 32 bits.
const EPOCH_MAX: Epoch = u32::MAX as Epoch;

/// Maximum number of characters of a holder's name in the log.
const HOLDER_CHARS_MAX: usize = 128;

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

    /// Parses an epoch that another one can follow.
    pub(super) fn parse_epoch(bytes: &[u8]) -> Option<Epoch> {
        let epoch = std::str::from_utf8(bytes).ok()?.parse().ok()?;
        (epoch < EPOCH_MAX).then_some(epoch)
    }

    /// Returns the name of the owner's host, cut to a length for the log.
    pub(super) fn short_holder(&self) -> String {
        self.holder.chars().take(HOLDER_CHARS_MAX).collect()
    }

    /// Decodes a term from the store. Returns `None` if the value is malformed, or if no term can
    /// follow it.
    pub(super) fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let term: Self = serde_json::from_slice(bytes).ok()?;
        (term.epoch < EPOCH_MAX).then_some(term)
    }
}
