//! Members of the roster.

use toucanquay_model::{Time, upstream::Announcement};

use super::UpstreamStatus;

/// An upstream that has announced itself and has not expired.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Last announcement.
    pub announcement: Announcement,
    /// Status as of the last heartbeat.
    pub status: UpstreamStatus,
    /// Sequence number of the last heartbeat.
    pub sequence: u64,
    /// When the member expires unless a heartbeat arrives.
    pub expires_at: Time,
}

impl Member {
    /// Returns a member without a heartbeat. It counts as unhealthy until the first one.
    pub(super) fn new(announcement: Announcement, expires_at: Time) -> Self {
        Self {
            announcement,
            status: UpstreamStatus::default(),
            sequence: 0,
            expires_at,
        }
    }

    /// Returns whether it accepts new requests.
    #[must_use]
    pub const fn is_available(&self) -> bool {
        self.status.is_healthy && !self.status.is_leaving
    }
}
