//! Answer of a worker.

use toucanquay_control::runner::{AttemptList, CallOutcome};

/// What became of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Outcome of a start, a stop or a pace.
    Outcome(CallOutcome),
    /// The worker's list.
    Listing(AttemptList),
    /// Nothing listens at the worker's address, so its process is gone.
    ConnectionRefused,
}
