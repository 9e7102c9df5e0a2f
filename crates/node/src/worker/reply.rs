//! Replies of a worker.

use toucanquay_control::runner::{AttemptList, CallOutcome};

/// Result of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Outcome of a start, stop or pace call.
    Outcome(CallOutcome),
    /// The worker's running and ended attempts.
    Attempts(AttemptList),
    /// The worker's address refused the connection: its process isn't running.
    ConnectionRefused,
}
