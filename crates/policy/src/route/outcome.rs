//! Outcome of a request to an upstream.

/// Outcome of a request to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The complete response was received.
    Succeeded,
    /// The upstream returned an error, or the response was truncated or timed out.
    Failed,
    /// The companion refused the request because all slots were busy; the request did not run.
    Refused,
    /// The companion refused the request because the upstream is draining; the request did not run.
    Draining,
    /// The connection failed.
    Unreachable,
    /// The client cancelled the request, which says nothing about the upstream.
    Cancelled,
}
