//! Another entry.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use toucanquay_model::{Incarnation, Revision};

/// Another entry, as this one knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its run.
    pub incarnation: Incarnation,
    /// Address of its listener for peers.
    pub address: SocketAddr,
    /// Configuration revision that it held when it was last asked.
    #[serde(skip)]
    pub revision: Revision,
    /// Workers that lag behind it, by its last answer.
    #[serde(skip)]
    pub revision_companions: Option<Revision>,
}
