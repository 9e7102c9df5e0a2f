//! Settings of a roster.

/// How long a roster waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// How long a member stays without a heartbeat, in microseconds. The default is three
    /// heartbeats, so that two lost ones do not expire it.
    pub heartbeat_timeout_micros: u64,
    /// How long a former member's incarnation is remembered, in microseconds.
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
