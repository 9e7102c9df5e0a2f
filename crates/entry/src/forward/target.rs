//! Destination of an attempt.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use toucanquay_model::{Incarnation, worker};

/// Companion that a request is sent to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Worker of the companion.
    pub worker: worker::Id,
    /// Incarnation of the companion.
    pub incarnation: Incarnation,
    /// Address of the companion's listener for entries.
    pub address: SocketAddr,
}
