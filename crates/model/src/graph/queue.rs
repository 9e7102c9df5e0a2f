//! A queue of jobs.

use serde::{Deserialize, Serialize};

/// Scheduling settings of the jobs of one queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    /// Pool of workers that run the queue's tasks.
    pub pool: String,
    /// Priority among queues; 0 is the highest.
    pub priority: u32,
    /// Number of failed attempts of one task after which its job fails.
    pub attempts_max: u32,
    /// Factor by which a job's critical path is multiplied to give its completion-time objective.
    pub stretch: f64,
    /// Constant added to the completion-time objective, in milliseconds.
    pub slack_ms: u64,
}
