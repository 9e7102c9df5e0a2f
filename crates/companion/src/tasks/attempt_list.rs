//! The task runtime's list of attempts.

use serde::Deserialize;
use toucanquay_control::agent::ListedAttempt;
use toucanquay_model::{Attempt, Resources, Time, exchange::TaskState, job, task};

/// Response of the task runtime with all attempts that it knows.
#[derive(Debug, Deserialize)]
pub struct AttemptList {
    tasks: Vec<Row>,
}

/// One attempt in the list.
#[derive(Debug, Deserialize)]
struct Row {
    job: String,
    index: u32,
    epoch: u64,
    number: u32,
    state: Stage,
    reason: Option<String>,
    checkpoint: Option<String>,
    processors_milli: u32,
    memory_mb: u32,
    accelerators: u32,
    lease_left_ms: u64,
}

/// State of an attempt in the list.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Stage {
    Running,
    Finished,
    Failed,
    Stopped,
    Lapsed,
}

impl AttemptList {
    /// Converts the attempts of a list that was requested at `called_at`.
    ///
    /// Lease deadlines are computed from the time of the request, so they are never later than
    /// those of the runtime.
    pub fn into_listed(self, called_at: Time) -> Vec<ListedAttempt> {
        let rows = self.tasks.into_iter();
        rows.map(|row| row.into_listed(called_at)).collect()
    }
}

impl Row {
    fn into_listed(self, called_at: Time) -> ListedAttempt {
        ListedAttempt {
            task: task::Id::new(job::Id(self.job), self.index),
            attempt: Attempt::new(self.epoch, self.number),
            demand: Resources {
                processors_milli: self.processors_milli,
                memory_mb: self.memory_mb,
                accelerators: self.accelerators,
            },
            deadline: called_at.plus_millis(self.lease_left_ms),
            state: match self.state {
                Stage::Running => TaskState::Running,
                Stage::Finished => TaskState::Finished,
                Stage::Failed => TaskState::Failed {
                    reason: self.reason.unwrap_or_default(),
                },
                Stage::Stopped | Stage::Lapsed => TaskState::Stopped {
                    checkpoint: self.checkpoint,
                },
            },
        }
    }
}
