//! Limits of a listener for other processes.

use tokio::time::Duration;

/// Limits on what other processes send to a listener and hold there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerLimits {
    /// Connections that are open at a time.
    pub connections: usize,
    /// Bytes of frames that aren't whole, over all connections.
    pub frame_bytes: usize,
    /// Time for a handshake, for the first frame of a stream, and between two parts of a frame.
    pub timeout: Duration,
}

impl Default for PeerLimits {
    fn default() -> Self {
        Self {
            connections: 512,
            frame_bytes: 64 << 20,
            timeout: Duration::from_secs(10),
        }
    }
}
