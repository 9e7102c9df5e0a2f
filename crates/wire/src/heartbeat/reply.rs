//! Reply to a heartbeat.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use toucanquay_model::{Epoch, Revision};

/// An entry's reply to a heartbeat.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Highest configuration revision that the entry knows of.
    pub revision_known: Revision,
    /// Configuration revision that the entry holds and can serve.
    pub revision: Revision,
    /// Peer addresses of all entries, including its own.
    pub entries: Vec<SocketAddr>,
    /// Owner of the companion's cell, if the entry knows it.
    pub owner: Option<Owner>,
    /// Whether the entry needs the companion's announcement.
    pub wants_announcement: bool,
}

/// Owner of a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Peer address of the owner process.
    pub address: SocketAddr,
    /// Epoch of the owner.
    pub epoch: Epoch,
}
