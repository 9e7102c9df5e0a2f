//! Other entries.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use toucanquay_model::{Incarnation, Revision};

/// Last known status of another entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// Configuration revision that it last reported.
    #[serde(skip)]
    pub revision: Revision,
    /// Lowest revision of the companions known to it, as last reported.
    #[serde(skip)]
    pub revision_companions: Option<Revision>,
}
