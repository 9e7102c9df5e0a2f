//! Upstreams as announced by their companions.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Resources, worker};

/// Description of an upstream and its worker, sent by their companion when it joins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Worker that the upstream runs on.
    pub worker: worker::Id,
    /// Incarnation of the companion that sends the announcement.
    pub incarnation: Incarnation,
    /// Name of the service that the upstream provides.
    pub service: String,
    /// Team (department) that owns the upstream.
    pub team: String,
    /// Availability zone.
    pub zone: String,
    /// Rack within the availability zone.
    pub rack: String,
    /// Address of the companion's listener for entry processes.
    pub address: SocketAddr,
    /// Maximum number of requests that the upstream handles concurrently.
    pub slots: u32,
    /// Maximum number of connections from the companion to the upstream.
    pub connections: u32,
    /// Capacity of the worker for batch tasks.
    pub capacity: Resources,
    /// Cell that the worker belongs to.
    pub cell: u32,
}

/// Returns how many watches an upstream with these `slots` and `connections` accepts in addition to
/// its other requests.
///
/// A watch holds a connection for hours but is mostly idle, so it does not occupy a slot. Two
/// connections are reserved for each slot, which may briefly hold a second one, and one more for
/// health checks. If the result is zero, watches have to occupy slots.
#[must_use]
pub const fn watch_slots(slots: u32, connections: u32) -> u32 {
    connections.saturating_sub(slots.saturating_mul(2).saturating_add(1))
}
