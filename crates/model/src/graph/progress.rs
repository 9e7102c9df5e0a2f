//! Durable progress of a job.

use serde::{Deserialize, Serialize};

use super::{Place, State, TaskProgress};

/// What the owner has recorded of a job's tasks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Progress {
    /// The job's state.
    pub state: State,
    /// Why the job failed, for people.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// When the job was over, in milliseconds since 1970.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub over_unix_ms: Option<u64>,
    /// Tasks that are done, while the job is not over.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<Place>,
    /// Tasks with failed attempts or a checkpoint, while the job is not over.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub tallies: Vec<TaskProgress>,
}
