//! Result of an announcement or a heartbeat.

/// What the roster made of an announcement or a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateResult {
    /// The upstream joined, or its companion was restarted.
    Joined,
    /// The upstream is a member.
    Known,
    /// The sender is no member and has to send its announcement.
    Unknown,
    /// It came late, from an older incarnation or out of order, and changed nothing.
    Stale,
}
