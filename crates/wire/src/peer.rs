//! State that entries tell each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use toucanquay_model::{Incarnation, Revision};

/// State of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the entry.
    pub entry: String,
    /// Its run.
    pub incarnation: Incarnation,
    /// Address of its listener for peers.
    pub address: SocketAddr,
    /// Configuration revision that it holds.
    pub revision: Revision,
    /// Highest configuration revision that it knows of.
    pub revision_known: Revision,
    /// Lowest revision held by the companions whose heartbeats it receives, if there are any.
    pub revision_companions: Option<Revision>,
}
