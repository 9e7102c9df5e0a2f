//! What a companion does at its worker.

use toucanquay_model::{
    Time,
    graph::Task,
    session::{Start, Stop},
};

/// A call to the worker. The caller hands the outcome back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Start an attempt.
    Start {
        /// The order.
        start: Start,
        /// After this time the start must no longer take effect.
        lease_until: Time,
    },
    /// Stop an attempt, or make sure that it never starts.
    Stop(Stop),
    /// Let an attempt work at a share of its speed.
    Pace {
        /// The task.
        task: Task,
        /// The attempt.
        attempt: u64,
        /// The share, in percent.
        percent: u8,
        /// Highest present latency on the worker as a share of its target, in percent.
        latency_percent: Option<u32>,
    },
}

impl Action {
    /// Returns the attempt whose pace is set.
    pub(super) const fn paced_attempt(&self) -> Option<(Task, u64)> {
        match self {
            Self::Pace { task, attempt, .. } => Some((*task, *attempt)),
            Self::Start { .. } | Self::Stop(_) => None,
        }
    }
}
