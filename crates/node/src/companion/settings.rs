//! Settings of a companion.

use std::net::SocketAddr;

use toucanquay_model::Incarnation;
use toucanquay_wire::PeerLimits;

/// Settings of a [`Companion`](super::Companion).
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the host.
    pub name: String,
    /// Incarnation of this process.
    pub process: Incarnation,
    /// Listen address for sessions of owners.
    pub listen: SocketAddr,
    /// Limits on the processes that connect to it.
    pub limits: PeerLimits,
}
