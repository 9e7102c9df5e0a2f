//! A waiting request.

use smallvec::SmallVec;
use toucanquay_model::Time;

/// A waiting request.
#[derive(Debug, Clone)]
pub struct Waiting<K> {
    /// When it must be answered.
    pub deadline: Time,
    /// When it is too late to send it, by the expected service time.
    pub expires_at: Time,
    /// Its place in the order: the deadline, bounded so that no request starves.
    pub position: Time,
    /// When it was pushed.
    pub since: Time,
    /// Upstreams that it should not go to.
    pub excluded: SmallVec<[K; 2]>,
}
