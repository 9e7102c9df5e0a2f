//! A heartbeat of the worker.

use toucanquay_model::session::Worker;

/// A heartbeat by which a worker announces itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Identifier of the worker, which a later incarnation may reuse.
    pub id: String,
    /// Number of the heartbeat, which starts at 1 in each incarnation.
    pub sequence: u64,
    /// State of the worker.
    pub worker: Worker,
}
