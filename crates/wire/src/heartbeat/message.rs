//! State of a companion.

use serde::{Deserialize, Serialize};
use toucanquay_model::{Incarnation, Revision, upstream::Announcement, worker};

/// State of a companion, sent to each entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The worker.
    pub worker: worker::Id,
    /// The run of the companion.
    pub incarnation: Incarnation,
    /// Number of this heartbeat in the incarnation, from one.
    pub sequence: u64,
    /// The announcement, in the first heartbeat and when the receiver asked for it.
    pub announcement: Option<Announcement>,
    /// Configuration revision that the companion holds.
    pub revision: Revision,
    /// Highest configuration revision that the companion knows of.
    pub revision_known: Revision,
    /// Requests in flight at the upstream.
    pub in_flight: u32,
    /// Whether the upstream answers its health check.
    pub is_healthy: bool,
    /// Whether the upstream is leaving and takes no new work.
    pub is_leaving: bool,
    /// Whether the upstream is leaving and nothing is left in progress.
    pub is_drained: bool,
    /// Batch tasks that hold resources of the worker.
    pub tasks: u32,
}
