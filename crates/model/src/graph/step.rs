//! One step of a job.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::Resources;

/// Like tasks that start when the steps before them are done.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// What each task occupies.
    pub demand: Resources,
    /// Rough estimate of a task's run time, in milliseconds.
    pub estimate_ms: u64,
    /// Indices of earlier steps whose tasks must all be done first.
    pub after: SmallVec<[u16; 4]>,
    /// Tasks save their progress and can resume from it.
    pub has_checkpoints: bool,
    /// The tasks work only together, under one attempt number.
    pub is_gang: bool,
    /// The tasks of a gang are slower on more than one rack.
    pub prefers_one_rack: bool,
    /// Label that the worker must have.
    pub requires: Option<String>,
    /// Rack that holds the data.
    pub rack: Option<String>,
    /// Most tasks of one occurrence of the step on one worker.
    pub per_worker_max: Option<u32>,
    /// Several attempts may run at once; the first one that finishes counts.
    pub is_speculative: bool,
    /// The tasks run until the job is cancelled and are restarted however they end.
    pub is_perpetual: bool,
    /// Names what the tasks run; tasks of one image behave alike.
    pub image: Option<String>,
    /// Bound of the tail latency that the tasks' own users see, in milliseconds.
    pub latency_target_ms: Option<u32>,
    /// The tasks use only processors that others leave idle.
    pub uses_idle: bool,
    /// Most tasks of a perpetual step that this system may interrupt at once.
    pub unavailable_max: Option<u32>,
}

impl Step {
    /// Returns what a task occupies on a worker. Idle processors are not occupied.
    #[must_use]
    pub const fn occupied(&self) -> Resources {
        if !self.uses_idle {
            return self.demand;
        }
        Resources {
            processors_milli: 0,
            ..self.demand
        }
    }

    /// Returns the processors that a task uses if they are idle, in thousandths.
    #[must_use]
    pub const fn idle_milli(&self) -> u32 {
        if self.uses_idle {
            self.demand.processors_milli
        } else {
            0
        }
    }
}
