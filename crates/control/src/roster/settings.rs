//! Settings of a roster.

/// Timeouts of a roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Time without a heartbeat after which a member expires, in microseconds. The default is three
    /// heartbeat intervals, so that two lost heartbeats do not expire a member.
    pub heartbeat_timeout_micros: u64,
    /// Retention of a former member's incarnation, in microseconds.
    pub former_member_ttl_micros: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat_timeout_micros: 3_000_000,
            former_member_ttl_micros: 600_000_000,
        }
    }
}
