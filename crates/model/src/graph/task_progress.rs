//! Failed attempts of a task.

use serde::{Deserialize, Serialize};

use smallvec::SmallVec;

use super::Place;

/// Failed attempts and the last checkpoint of one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// The task.
    pub place: Place,
    /// Attempts that ended as failed. An end may be listed again after it was recorded, so each
    /// attempt counts once.
    pub failed: SmallVec<[u64; 2]>,
    /// Last checkpoint that an ended attempt left.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
}
