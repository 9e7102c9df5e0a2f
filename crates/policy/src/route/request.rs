//! What the decision needs to know of a request.

use smallvec::SmallVec;
use toucanquay_model::Time;

use super::Key;

/// What the decision needs to know of a request.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// When it must be answered.
    pub deadline: Time,
    /// Upstreams that failed or refused it before. It goes to another one if there is one.
    pub excluded: SmallVec<[Key; 2]>,
}

impl Request {
    /// Returns a request that was not sent before.
    #[must_use]
    pub fn new(deadline: Time) -> Self {
        Self {
            deadline,
            excluded: SmallVec::new(),
        }
    }

    /// Excludes an upstream.
    #[must_use]
    pub fn excluding(mut self, key: Key) -> Self {
        self.excluded.push(key);
        self
    }
}
