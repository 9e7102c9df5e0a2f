//! One attempt under a lease.

use toucanquay_model::{Attempt, Resources, Time};

use super::key::{TaskKey, WorkerKey};

/// The current attempt of a task.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) task: TaskKey,
    pub(super) attempt: Attempt,
    pub(super) worker: WorkerKey,
    pub(super) demand: Resources,
    /// Until when it may run, on the owner's clock.
    pub(super) lease_end_bound: Time,
    pub(super) stage: Stage,
    /// Whether the runtime is known to have started it.
    pub(super) is_confirmed: bool,
    /// Sequence of the last report that had it, or zero after a restart of the companion.
    pub(super) last_report: u64,
    /// Whether it is to be stopped, and with a checkpoint.
    pub(super) requested_stop: Option<bool>,
    /// Share of its processors, in percent, that is still to be ordered.
    pub(super) pending_throttle: Option<u8>,
}

/// How far an attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// It is placed and the grant has not left yet.
    Placed,
    /// The grant left in the answer to the report with this sequence.
    Granted(u64),
    /// The grant left to a predecessor of the worker's companion and may still take effect.
    Orphaned,
    /// The companion has reported it.
    Reported,
}
