//! Answer of a worker.

use toucanquay_control::runner::{Listing, Outcome};

/// What became of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Outcome of a start, a stop or a pace.
    Outcome(Outcome),
    /// The worker's list.
    Listing(Listing),
    /// Nothing listens at the worker's address, so its process is gone.
    Gone,
}
