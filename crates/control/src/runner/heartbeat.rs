//! A heartbeat of the worker.

use toucanquay_model::session::Worker;

/// What a worker says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The worker's identifier, which a later life may have again.
    pub id: String,
    /// Number of the heartbeat, from 1 in each life.
    pub sequence: u64,
    /// The worker.
    pub worker: Worker,
}
