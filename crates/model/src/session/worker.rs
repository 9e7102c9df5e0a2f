//! The worker that an agent manages.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{Incarnation, Resources};

/// Description of a worker as announced to its agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Incarnation of the worker process, which increases with each start.
    pub incarnation: Incarnation,
    /// Pool of workers that it belongs to.
    pub pool: String,
    /// Availability zone that it is in.
    pub zone: String,
    /// Total resources for tasks.
    pub capacity: Resources,
    /// Labels of the worker; the last one names its rack.
    pub labels: SmallVec<[String; 2]>,
    /// Whether the worker is draining: it accepts no new tasks and will exit soon.
    pub is_draining: bool,
    /// Minimum time left before a draining worker exits, in milliseconds.
    pub remaining_ms: Option<u64>,
}

impl Worker {
    /// Returns the label of the worker's rack.
    #[must_use]
    pub fn rack(&self) -> Option<&str> {
        self.labels.last().map(String::as_str)
    }
}
