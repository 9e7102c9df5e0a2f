//! State exchanged between entries.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use toucanquay_model::{Incarnation, Revision};

/// State of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the entry.
    pub entry: String,
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
    /// Address of its listener for peers.
    pub address: SocketAddr,
    /// Configuration revision that the entry holds.
    pub revision: Revision,
    /// Highest configuration revision that the entry knows of.
    pub revision_known: Revision,
    /// Lowest revision held by the companions that send heartbeats to the entry, if any.
    pub revision_companions: Option<Revision>,
}
