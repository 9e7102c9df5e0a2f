//! An upstream as an operator sees it.

use serde::{Deserialize, Serialize};
use toucanquay_model::{Revision, worker};

/// One upstream with its load and state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// The worker.
    pub worker: worker::Id,
    /// Service that it answers for.
    pub service: String,
    /// Team that owns it.
    pub team: String,
    /// Availability zone.
    pub zone: String,
    /// Rack.
    pub rack: String,
    /// Requests that it handles at once.
    pub slots: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Batch tasks on the worker.
    pub tasks: u32,
    /// Configuration revision that its companion holds.
    pub revision: Revision,
    /// `available`, `unhealthy`, `leaving` or `drained`.
    pub state: String,
}
