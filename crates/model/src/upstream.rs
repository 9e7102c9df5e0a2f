//! Upstreams, as their companions announce them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Resources, worker};

/// What a companion tells about its upstream and its worker when it joins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The worker that the upstream runs on.
    pub worker: worker::Id,
    /// The run of the companion that announces it.
    pub incarnation: Incarnation,
    /// Name of the service that the upstream answers for.
    pub service: String,
    /// Team (department) that owns the upstream.
    pub team: String,
    /// Availability zone.
    pub zone: String,
    /// Rack within the availability zone.
    pub rack: String,
    /// Address of the companion's listener for entry processes.
    pub address: SocketAddr,
    /// Requests that the upstream handles at once.
    pub slots: u32,
    /// Connections that the companion keeps to the upstream at the most.
    pub connections: u32,
    /// Capacity of the worker for batch tasks.
    pub capacity: Resources,
    /// Cell that the worker belongs to.
    pub cell: u32,
}

/// Returns how many watches an upstream with these `slots` and `connections` takes beside its other
/// requests.
///
/// A watch holds a connection for hours but is idle for most of that time, so it takes none of the
/// slots. Each slot may have a second connection for a moment, and one is for health checks. Zero
/// means that watches have to take slots.
#[must_use]
pub const fn watch_slots(slots: u32, connections: u32) -> u32 {
    connections.saturating_sub(slots.saturating_mul(2).saturating_add(1))
}
