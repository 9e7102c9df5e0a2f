//! State updates from an agent to the owner.

use serde::{Deserialize, Serialize};

use super::{AttemptStatus, Crash, End, Worker};
use crate::{Epoch, Incarnation, Time};

/// Complete state of a worker as known to its agent.
///
/// An attempt whose start was ordered up to [`applied`](Self::applied), and that is listed neither
/// in `runs` nor in `ends`, is not on the worker and never will be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Name of the host that the agent runs on.
    pub host: String,
    /// Incarnation of the agent's process.
    pub process: Incarnation,
    /// Sequence number of the update, starting at 1 in each agent process.
    pub number: u64,
    /// Time on the agent's clock at which it sent the update.
    pub stamp: Time,
    /// Highest epoch that the agent has seen.
    pub epoch: Epoch,
    /// Sequence number of the last orders of this session that were applied.
    pub applied: u64,
    /// Whether every start ordered by an earlier owner that can still take effect is listed here.
    pub is_settled: bool,
    /// The worker, or `None` if it has not announced itself yet, is silent or is gone.
    pub worker: Option<Worker>,
    /// Whether the worker is silent: it leaves its agent's calls unanswered, and may go on running
    /// its attempts until its lease ends.
    pub is_worker_silent: bool,
    /// Whether the measurements in `runs` are new since the last update and valid for the current
    /// attempts, that is, no attempt that uses idle processors was started or ended just before.
    pub has_sample: bool,
    /// Attempts on the worker, and rejected attempts.
    pub runs: Vec<AttemptStatus>,
    /// Attempt ends that are not yet acknowledged.
    pub ends: Vec<End>,
    /// Crashes of the worker that are not yet acknowledged.
    pub crashes: Vec<Crash>,
}
