//! A queue of jobs.

use serde::{Deserialize, Serialize};

/// How the jobs of one queue are run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    /// Pool of workers that run the queue's tasks.
    pub pool: String,
    /// Order among queues; 0 comes first.
    pub priority: u32,
    /// Failed attempts of one task after which its job fails.
    pub attempts_max: u32,
    /// Factor from a job's longest chain of work to its objective.
    pub stretch: f64,
    /// Time added to the objective, in milliseconds.
    pub slack_ms: u64,
}
