//! Reports from companions.

use serde::{Deserialize, Serialize};

use super::{ServiceUsage, TaskState, TaskUsage};
use crate::{Attempt, Epoch, Incarnation, Resources, Revision, task, worker};

/// State of a worker's tasks, sent by its companion to the cell owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the worker that the companion serves.
    pub worker: worker::Id,
    /// Incarnation of the companion.
    pub incarnation: Incarnation,
    /// Sequence number of the report within the incarnation, starting at 1. A report supersedes all
    /// earlier ones: the companion ignores late responses to them.
    pub sequence: u64,
    /// Highest owner epoch that the companion has seen.
    pub epoch: Epoch,
    /// Configuration revision that the companion holds.
    pub revision: Revision,
    /// Whether the worker is leaving and accepts no new tasks.
    pub is_leaving: bool,
    /// Whether the companion was restarted so recently that a start request of its previous
    /// incarnation may still reach the task runtime. Until this is over, it accepts no new tasks.
    pub is_settling: bool,
    /// Capacity of the worker for batch tasks.
    pub capacity: Resources,
    /// All attempts that hold resources or whose end is not yet acknowledged.
    pub tasks: Vec<TaskReport>,
    /// Resource usage of tasks, measured over past windows.
    pub task_usage: Vec<TaskUsage>,
    /// Behaviour of the service on the same worker, measured over past windows.
    pub service_usage: Vec<ServiceUsage>,
}

/// State of one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Task within which `attempt` is unique.
    pub task: task::Id,
    /// Attempt, as granted by the owner of its epoch.
    pub attempt: Attempt,
    /// Resources that the attempt holds on the worker.
    pub demand: Resources,
    /// State of the attempt.
    pub state: TaskState,
}
