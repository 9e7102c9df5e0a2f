//! Stored progress of a job.

use serde::{Deserialize, Serialize};

use super::{Place, State, TaskProgress, place_range};

/// Progress of a job as recorded in the store by the owner.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Progress {
    /// State of the job.
    pub state: State,
    /// Human-readable reason why the job failed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Time at which the job reached a final state, in milliseconds since the Unix epoch.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub over_unix_ms: Option<u64>,
    /// Completed tasks; empty once the job has reached a final state.
    #[serde(with = "place_range", skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<Place>,
    /// Tasks with failed attempts or a checkpoint; empty once the job has reached a final state.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub tallies: Vec<TaskProgress>,
}
