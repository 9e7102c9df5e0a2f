//! The cell owner's response to a report.

use serde::{Deserialize, Serialize};

use crate::{Attempt, Epoch, Resources, Revision, task};

/// The cell owner's response to one [`Report`](super::Report).
///
/// Renews the lease of every attempt in the report that is not listed in `stops`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Epoch of the owner. A companion that has seen a higher epoch ignores the command.
    pub epoch: Epoch,
    /// Sequence number of the report that this responds to. The companion ignores a command for any
    /// report but its latest.
    pub sequence: u64,
    /// Lease duration in microseconds, counted from the time at which the report was sent.
    pub lease_micros: u64,
    /// Highest configuration revision that the owner knows of.
    pub revision: Revision,
    /// Whether no start request of an earlier incarnation of the companion can still take effect.
    pub is_quiet: bool,
    /// Attempts to start.
    pub grants: Vec<Grant>,
    /// Attempts to stop.
    pub stops: Vec<Stop>,
    /// Attempts to slow down.
    pub throttles: Vec<Throttle>,
    /// Ended attempts that the owner has recorded and the companion may delete.
    pub acknowledged: Vec<(task::Id, Attempt)>,
}

/// Grants permission to run one attempt of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Task to run.
    pub task: task::Id,
    /// Attempt that the owner permits. The companion reports its state under the same value.
    pub attempt: Attempt,
    /// Team that owns the job.
    pub team: String,
    /// Kind of batch work.
    pub kind: String,
    /// Resources that the attempt holds on the worker.
    pub demand: Resources,
    /// Opaque text passed to the worker's task runtime.
    pub payload: String,
    /// Checkpoint to resume from, if any.
    pub checkpoint: Option<String>,
}

/// Requests that an attempt be stopped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// Task within which `attempt` is unique.
    pub task: task::Id,
    /// Attempt to stop. Other attempts of the task are not affected.
    pub attempt: Attempt,
    /// Whether to take a checkpoint first, which a cancelled task does not need.
    pub with_checkpoint: bool,
}

/// Limits the processor share of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Throttle {
    /// Task within which `attempt` is unique.
    pub task: task::Id,
    /// Attempt to limit. Other attempts of the task are not affected.
    pub attempt: Attempt,
    /// Share of its processors that the attempt may use, in percent; 100 ends the throttling.
    pub share_percent: u8,
}
