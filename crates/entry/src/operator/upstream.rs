//! Upstreams in the operator protocol.

use serde::{Deserialize, Serialize};
use toucanquay_model::{Revision, worker};

/// Upstream with its load and state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Worker that the upstream runs on.
    pub worker: worker::Id,
    /// Service that it serves.
    pub service: String,
    /// Team that owns the service.
    pub team: String,
    /// Availability zone.
    pub zone: String,
    /// Rack of the worker.
    pub rack: String,
    /// Maximum concurrent requests.
    pub slots: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Batch tasks on the worker.
    pub tasks: u32,
    /// Configuration revision of its companion.
    pub revision: Revision,
    /// `available`, `unhealthy`, `leaving` or `drained`.
    pub state: String,
}
