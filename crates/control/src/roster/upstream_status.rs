//! Status of an upstream.

use toucanquay_model::Revision;

/// Status of an upstream as of its last heartbeat.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpstreamStatus {
    /// Configuration revision that the companion holds.
    pub revision: Revision,
    /// Number of requests in flight at the upstream.
    pub in_flight: u32,
    /// Number of batch tasks that hold resources of the worker.
    pub tasks: u32,
    /// Whether the upstream passes its health check.
    pub is_healthy: bool,
    /// Whether the upstream is leaving and accepts no new work.
    pub is_leaving: bool,
    /// Whether the upstream is leaving and has no work in progress.
    pub is_drained: bool,
}
