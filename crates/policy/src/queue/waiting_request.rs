//! A waiting request.

use smallvec::SmallVec;
use toucanquay_model::Time;

/// A waiting request.
#[derive(Debug, Clone)]
pub struct WaitingRequest<K> {
    /// Time by which the request must be answered.
    pub deadline: Time,
    /// Deadline by which the queue is ordered. It is bounded so that no request starves.
    pub effective_deadline: Time,
    /// Time at which the request was pushed.
    pub enqueued_at: Time,
    /// Upstreams to avoid.
    pub excluded: SmallVec<[K; 2]>,
}
