//! Routing parameters of a request.

use smallvec::SmallVec;
use toucanquay_model::Time;

use super::Key;

/// Routing parameters of a request.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// Time by which the request must be answered.
    pub deadline: Time,
    /// Upstreams that failed or refused the request before. They are avoided while there are
    /// others.
    pub excluded: SmallVec<[Key; 2]>,
}

impl Request {
    /// Creates a request that has not been sent before.
    #[must_use]
    pub fn new(deadline: Time) -> Self {
        Self {
            deadline,
            excluded: SmallVec::new(),
        }
    }

    /// Adds an upstream to the excluded ones.
    #[must_use]
    pub fn excluding(mut self, key: Key) -> Self {
        self.excluded.push(key);
        self
    }
}
