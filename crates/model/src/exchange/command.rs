//! What the owner answers.

use serde::{Deserialize, Serialize};

use crate::{Attempt, Epoch, Resources, Revision, task};

/// The owner's answer to one [`Report`](super::Report).
///
/// It renews the lease of every attempt in the report that is not in `stops`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Epoch of the owner. A companion that has seen a higher one ignores the command.
    pub epoch: Epoch,
    /// Sequence of the report that this answers. The companion ignores any other.
    pub sequence: u64,
    /// How long the leases last, in microseconds after the time at which the report was sent.
    pub lease_micros: u64,
    /// Highest configuration revision that the owner knows of.
    pub revision: Revision,
    /// Whether no start that a former run of the companion sent can take effect any more.
    pub is_quiet: bool,
    /// Attempts to start.
    pub grants: Vec<Grant>,
    /// Attempts to stop.
    pub stops: Vec<Stop>,
    /// Attempts to slow down.
    pub throttles: Vec<Throttle>,
    /// Ended attempts that the owner has recorded, which the companion may forget.
    pub acknowledged: Vec<(task::Id, Attempt)>,
}

/// Permission to run one attempt of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The task.
    pub task: task::Id,
    /// The attempt.
    pub attempt: Attempt,
    /// Team that owns the job.
    pub team: String,
    /// Kind of batch work.
    pub kind: String,
    /// Resources that the attempt holds on the worker.
    pub demand: Resources,
    /// Opaque text for the worker's task runtime.
    pub payload: String,
    /// Checkpoint to resume from, if there is one.
    pub checkpoint: Option<String>,
}

/// Order to stop one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// The task.
    pub task: task::Id,
    /// The attempt.
    pub attempt: Attempt,
    /// Whether to take a checkpoint first. A cancelled task needs none.
    pub with_checkpoint: bool,
}

/// Order to slow down one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Throttle {
    /// The task.
    pub task: task::Id,
    /// The attempt.
    pub attempt: Attempt,
    /// Share of its processors that the attempt keeps, in percent; 100 ends the throttling.
    pub share_percent: u8,
}
