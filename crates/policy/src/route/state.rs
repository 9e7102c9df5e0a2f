//! State of an upstream, as its companion reports it.

/// State of an upstream, as its companion reports it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum State {
    /// It takes new requests.
    #[default]
    Up,
    /// It is leaving and takes no new requests.
    Draining,
    /// It does not answer its health check.
    Unhealthy,
}
