//! One step of a job.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::Resources;

/// Identical tasks that start when all steps that they depend on are done.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task requests.
    pub demand: Resources,
    /// Estimated run time of a task, in milliseconds.
    pub estimate_ms: u64,
    /// Indices of the earlier steps that this one depends on.
    pub after: SmallVec<[u16; 4]>,
    /// Whether the tasks write checkpoints and can resume from them.
    pub has_checkpoints: bool,
    /// Whether the tasks are gang-scheduled: they run only together, under one attempt number.
    pub is_gang: bool,
    /// Whether the tasks of a gang run slower when spread over several racks.
    pub prefers_one_rack: bool,
    /// Label that a worker must have to run the tasks.
    pub requires: Option<String>,
    /// Rack that holds the input data.
    pub rack: Option<String>,
    /// Maximum number of tasks on one worker, for each occurrence of the step.
    pub per_worker_max: Option<u32>,
    /// Whether several attempts of a task may run concurrently; the first one to finish counts.
    pub is_speculative: bool,
    /// Whether the tasks run until the job is cancelled and are restarted whenever they end.
    pub is_perpetual: bool,
    /// Name of the program that the tasks run. Tasks of one image are expected to behave alike.
    pub image: Option<String>,
    /// Upper bound of the tail latency for users of the tasks, in milliseconds.
    pub latency_target_ms: Option<u32>,
    /// Whether the tasks use only processors that other tasks leave idle.
    pub uses_idle: bool,
    /// Maximum number of tasks of a perpetual step that the scheduler may interrupt concurrently.
    pub unavailable_max: Option<u32>,
}

impl Step {
    /// Returns the resources that a task reserves on a worker. Idle processors are not reserved.
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

    /// Returns whether a task of the step may have several attempts at once. The tasks of a gang work
    /// only under one attempt number, and a perpetual task is never done.
    #[must_use]
    pub const fn may_have_copies(&self) -> bool {
        self.is_speculative && !self.is_gang && !self.is_perpetual
    }

    /// Returns the idle processors that a task may use, in thousandths of a processor.
    #[must_use]
    pub const fn idle_milli(&self) -> u32 {
        if self.uses_idle {
            self.demand.processors_milli
        } else {
            0
        }
    }
}
