//! Results of announcements and heartbeats.

/// Result of an announcement or a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateResult {
    /// The upstream has joined, or its companion was restarted.
    Joined,
    /// The upstream is a member.
    Known,
    /// The sender is not a member and has to send its announcement.
    Unknown,
    /// The message was of an older incarnation or out of order, and changed nothing.
    Stale,
}
