//! Difference between two updates.

use serde::{Deserialize, Serialize};
use toucanquay_model::{
    Epoch, Time,
    session::{AttemptStatus, Crash, End, Worker},
};

use super::Change;

/// Difference between an agent's update and the one before it in the same session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Sequence number of the update.
    pub number: u64,
    /// Time on the agent's clock at which it sent the update.
    pub stamp: Time,
    /// Highest epoch that the agent has seen.
    pub epoch: Epoch,
    /// Sequence number of the last orders of this session that were applied.
    pub applied: u64,
    /// Whether every start ordered by an earlier owner that can still take effect is listed.
    pub is_settled: bool,
    /// Whether the measurements are new and valid for the current attempts.
    pub has_sample: bool,
    /// The worker, if its description has changed. The inner value is `None` if the worker is silent
    /// or gone.
    pub worker: Option<Option<Worker>>,
    /// Whether the worker is silent.
    pub is_worker_silent: bool,
    /// Attempts that were not listed before, with the slots that identify them in later messages.
    pub added: Vec<(u32, AttemptStatus)>,
    /// Attempts whose status has changed.
    pub changed: Vec<Change>,
    /// Slots of the attempts that are no longer listed.
    pub removed: Vec<u32>,
    /// Attempt ends that were not sent before.
    pub ends: Vec<End>,
    /// Crashes of the worker that are not yet acknowledged.
    pub crashes: Vec<Crash>,
}
