//! Heartbeat message.

use serde::{Deserialize, Serialize};
use toucanquay_model::{Incarnation, Revision, upstream::Announcement, worker};

/// State of a companion, sent periodically to each entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Worker that the companion belongs to.
    pub worker: worker::Id,
    /// Incarnation of the companion.
    pub incarnation: Incarnation,
    /// Sequence number of the heartbeat within the incarnation, starting at 1.
    pub sequence: u64,
    /// Announcement, included in the first heartbeat and when requested by the receiver.
    pub announcement: Option<Announcement>,
    /// Configuration revision that the companion holds.
    pub revision: Revision,
    /// Highest configuration revision that the companion knows of.
    pub revision_known: Revision,
    /// Number of requests in flight at the upstream.
    pub in_flight: u32,
    /// Whether the upstream passes its health check.
    pub is_healthy: bool,
    /// Whether the upstream is leaving and accepts no new work.
    pub is_leaving: bool,
    /// Whether the upstream is leaving and has no work in progress.
    pub is_drained: bool,
    /// Number of batch tasks that hold resources of the worker.
    pub tasks: u32,
}
