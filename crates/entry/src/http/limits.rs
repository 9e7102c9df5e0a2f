//! Limits of a listener.

use tokio::time::Duration;

/// Limits on what the callers of a listener send and hold.
///
/// The defaults suit a host with a gigabyte of memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Connections that are open at a time.
    pub connections: usize,
    /// Size of a head with the lines before it, in bytes; at least 8,192.
    pub head_bytes: usize,
    /// Time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// Time for which a connection stays open without a request.
    pub idle_timeout: Duration,
    /// Size of a body, in bytes.
    pub body_bytes: usize,
    /// Time from the last byte of a head to that of the body.
    pub body_timeout: Duration,
    /// Bytes of bodies that are held at a time, over all connections.
    pub held_bytes: usize,
    /// Time for which a caller takes nothing of a response.
    pub unread_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            head_bytes: 24_576,
            head_timeout: Duration::from_secs(6),
            idle_timeout: Duration::from_secs(60),
            body_bytes: 1 << 20,
            body_timeout: Duration::from_secs(10),
            held_bytes: 256 << 20,
            unread_timeout: Duration::from_secs(10),
        }
    }
}
