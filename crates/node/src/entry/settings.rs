//! Settings of an entry.

use std::net::SocketAddr;

use tokio::time::Duration;
use toucanquay_model::Incarnation;
use toucanquay_wire::PeerLimits;

use crate::evacuation;

/// Settings of an [`Entry`](super::Entry).
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the host.
    pub name: String,
    /// Incarnation of this process.
    pub process: Incarnation,
    /// Listen address for connections from other entries.
    pub listen: SocketAddr,
    /// Limits on the processes that connect to it.
    pub limits: PeerLimits,
    /// Capacity of the host for the owner's work, in any unit that all entries share. An entry whose
    /// host has at least twice the capacity is preferred as the owner.
    pub capacity: u32,
    /// Time within which a change of the configuration must be in force.
    pub configuration_bound: Duration,
    /// Requests to evacuate zones. Without it, none are read.
    pub evacuations: Option<evacuation::Source>,
    /// Time for which a cancelled identifier under which nothing is stored can't be used. It must
    /// exceed the time by which a submission may be late.
    pub withdrawal_retention: Duration,
    /// Time for which the state of an ended job is shown.
    pub job_retention: Duration,
    /// Run time of a task away from its data as a percentage of the run time near it; 100 if it makes
    /// no difference, so that no task waits for a place near its data.
    pub far_percent: u32,
}
