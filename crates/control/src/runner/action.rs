//! Calls that a companion makes to its worker.

use toucanquay_model::{
    Time,
    graph::Task,
    session::{Start, Stop},
};

/// A call to the worker. The caller reports the outcome to the [`Runner`](super::Runner).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Start an attempt.
    Start {
        /// Attempt to start, as the owner ordered it.
        start: Start,
        /// Time after which the start must no longer take effect.
        lease_until: Time,
    },
    /// Stop an attempt, or make sure that it never starts.
    Stop(Stop),
    /// Limit an attempt to a share of its full pace.
    Pace {
        /// Task within which `attempt` is unique.
        task: Task,
        /// Number of the attempt, as in its [`Start`].
        attempt: u64,
        /// Share of the full pace, in percent; 0 pauses the attempt.
        percent: u8,
        /// Highest ratio of a current latency on the worker to its target, in percent.
        latency_percent: Option<u32>,
    },
}
