//! What a companion reports.

use serde::{Deserialize, Serialize};

use super::{ServiceUsage, TaskState, TaskUsage};
use crate::{Attempt, Epoch, Incarnation, Resources, Revision, task, worker};

/// State of a worker's tasks, sent to the owner of its cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The worker.
    pub worker: worker::Id,
    /// The run of the companion.
    pub incarnation: Incarnation,
    /// Number of this report in the incarnation, from one. A report supersedes all earlier ones:
    /// the companion no longer acts on their answers.
    pub sequence: u64,
    /// Highest owner epoch that the companion has seen.
    pub epoch: Epoch,
    /// Configuration revision that the companion holds.
    pub revision: Revision,
    /// Whether the worker is leaving and takes no new task.
    pub is_leaving: bool,
    /// Whether the companion was restarted so recently that a start sent by its predecessor may
    /// still reach the task runtime. It takes no new task until then.
    pub is_settling: bool,
    /// Capacity of the worker for batch tasks.
    pub capacity: Resources,
    /// Every attempt that holds resources or whose end is not acknowledged yet.
    pub tasks: Vec<TaskReport>,
    /// Measured usage of tasks, with a lag.
    pub task_usage: Vec<TaskUsage>,
    /// Measured behaviour of the service beside the tasks, with a lag.
    pub service_usage: Vec<ServiceUsage>,
}

/// State of one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    pub task: task::Id,
    /// The attempt.
    pub attempt: Attempt,
    /// Resources that the attempt holds on the worker.
    pub demand: Resources,
    /// Its state.
    pub state: TaskState,
}
