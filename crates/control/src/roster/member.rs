//! One upstream of the roster.

use toucanquay_model::{Time, upstream::Announcement};

use super::UpstreamStatus;

/// An upstream that has announced itself and whose heartbeats arrive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its announcement.
    pub announcement: Announcement,
    /// Its state by the last heartbeat.
    pub status: UpstreamStatus,
    /// Number of the last heartbeat.
    pub sequence: u64,
    /// When it expires unless a heartbeat arrives.
    pub expires_at: Time,
}

impl Member {
    /// Returns a member without heartbeat; it counts as unhealthy until the first one.
    pub(super) fn new(announcement: Announcement, expires_at: Time) -> Self {
        Self {
            announcement,
            status: UpstreamStatus::default(),
            sequence: 0,
            expires_at,
        }
    }

    /// Tells whether it takes new requests.
    #[must_use]
    pub const fn is_available(&self) -> bool {
        self.status.is_healthy && !self.status.is_leaving
    }
}
