//! How a request to an upstream ended.

/// How a request to an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The whole answer arrived.
    Succeeded,
    /// The upstream answered with an error of its own, or the answer broke off or took too long.
    Failed,
    /// The companion refused it for lack of slots; it did not run.
    Refused,
    /// The companion refused it because the upstream is leaving; it did not run.
    Draining,
    /// The connection failed.
    Unreachable,
    /// The client gave up, which says nothing about the upstream.
    Cancelled,
}
