//! A waiting request.

use smallvec::SmallVec;
use toucanquay_model::Time;

/// A waiting request.
#[derive(Debug, Clone)]
pub struct WaitingRequest<K> {
    /// When it must be answered.
    pub deadline: Time,
    /// When it is too late to send it, by the expected service time.
    pub expires_at: Time,
    /// Its place in the order: the deadline, bounded so that no request starves.
    pub effective_deadline: Time,
    /// When it was pushed.
    pub enqueued_at: Time,
    /// Upstreams that it should not go to.
    pub excluded: SmallVec<[K; 2]>,
}
