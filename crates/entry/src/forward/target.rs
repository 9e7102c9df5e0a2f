//! Where an attempt goes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use toucanquay_model::{Incarnation, worker};

/// A companion that a request is sent to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The worker.
    pub worker: worker::Id,
    /// The run of the companion.
    pub incarnation: Incarnation,
    /// Address of the companion's listener for entries.
    pub address: SocketAddr,
}
