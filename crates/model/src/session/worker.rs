//! The worker beside an agent.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{Incarnation, Resources};

/// The worker as it announced itself to its agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Incarnation of the worker's process; it grows with each start.
    pub incarnation: Incarnation,
    /// Pool of workers to which it belongs.
    pub pool: String,
    /// What it can hold.
    pub capacity: Resources,
    /// Its kind and its rack, among others.
    pub labels: SmallVec<[String; 2]>,
    /// It takes no new tasks and ends soon.
    pub is_draining: bool,
    /// Least time that is left while it drains, in milliseconds.
    pub remaining_ms: Option<u64>,
}
