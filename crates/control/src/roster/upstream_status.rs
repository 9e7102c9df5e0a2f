//! What a heartbeat says of an upstream.

use toucanquay_model::Revision;

/// State of an upstream by its last heartbeat.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpstreamStatus {
    /// Configuration revision that the companion holds.
    pub revision: Revision,
    /// Requests in flight at the upstream.
    pub in_flight: u32,
    /// Batch tasks that hold resources of the worker.
    pub tasks: u32,
    /// Whether the upstream answers its health check.
    pub is_healthy: bool,
    /// Whether the upstream is leaving and takes no new work.
    pub is_leaving: bool,
    /// Whether the upstream is leaving and nothing is left in progress.
    pub is_drained: bool,
}
