//! What an agent tells the owner.

use serde::{Deserialize, Serialize};

use super::{AttemptStatus, End, Worker};
use crate::{Epoch, Incarnation, Time};

/// Everything that an agent knows of its worker.
///
/// An attempt that is in neither list, and whose start was ordered up to
/// [`applied`](Self::applied), is not on the worker and never will be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Name of the agent's host.
    pub host: String,
    /// Incarnation of the agent's process.
    pub process: Incarnation,
    /// Number of the update, from 1 in each process.
    pub number: u64,
    /// The agent's time when it sent the update.
    pub stamp: Time,
    /// Highest epoch that the agent has seen.
    pub epoch: Epoch,
    /// Number of the last orders of this session that were applied.
    pub applied: u64,
    /// No start of an earlier owner that isn't listed here can still take effect.
    pub is_settled: bool,
    /// The worker, unless it has not announced itself or is gone.
    pub worker: Option<Worker>,
    /// The attempts' figures were renewed since the last update, and cover the present attempts: no
    /// attempt that uses idle processors was started or ended just before.
    pub has_sample: bool,
    /// Attempts on the worker, and those that were rejected.
    pub runs: Vec<AttemptStatus>,
    /// Ends that are not acknowledged.
    pub ends: Vec<End>,
}
