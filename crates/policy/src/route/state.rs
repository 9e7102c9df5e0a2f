//! State of an upstream, as reported by its companion.

/// State of an upstream, as reported by its companion.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum State {
    /// Accepts new requests.
    #[default]
    Up,
    /// Is shutting down and accepts no new requests.
    Draining,
    /// Fails its health check.
    Unhealthy,
}
