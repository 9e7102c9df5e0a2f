//! Stored progress of one task.

use serde::{Deserialize, Serialize};

use smallvec::SmallVec;

use super::Place;

/// Failed attempts, suspect attempts and the last checkpoint of one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Position of the task within the job that the record belongs to.
    pub place: Place,
    /// Numbers of the failed attempts. They are listed, not counted, because the end of an attempt
    /// may be reported again after it was recorded.
    pub failed: SmallVec<[u64; 2]>,
    /// Numbers of the attempts that had just begun when their workers crashed.
    #[serde(default, skip_serializing_if = "SmallVec::is_empty")]
    pub crashed: SmallVec<[u64; 2]>,
    /// Numbers of the attempts that may have begun when their workers crashed.
    #[serde(default, skip_serializing_if = "SmallVec::is_empty")]
    pub suspected: SmallVec<[u64; 2]>,
    /// Last checkpoint of an attempt that has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
}
