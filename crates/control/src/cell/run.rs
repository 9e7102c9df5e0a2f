//! An attempt that holds a lease.

use toucanquay_model::{Attempt, Resources, Time};

use super::key::{TaskKey, WorkerKey};

/// The current attempt of a task, which holds a lease.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) task: TaskKey,
    pub(super) attempt: Attempt,
    pub(super) worker: WorkerKey,
    pub(super) demand: Resources,
    /// Upper bound of its lease's end, on the owner's clock.
    pub(super) lease_end_bound: Time,
    pub(super) start_state: StartState,
    /// Whether the task runtime is known to have started it.
    pub(super) is_confirmed: bool,
    /// Sequence of the last report that contained it, or zero after a restart of the companion.
    pub(super) last_report_sequence: u64,
    /// The requested stop, if any: whether it takes a checkpoint.
    pub(super) requested_stop: Option<bool>,
    /// Share of its processors, in percent, that has not been sent yet.
    pub(super) pending_throttle: Option<u8>,
}

/// Progress of an attempt's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartState {
    /// It is placed, and the grant has not been sent yet.
    Placed,
    /// The grant was sent with the answer to the report with this sequence.
    Granted(u64),
    /// The grant was sent to a former incarnation of the companion and may still take effect.
    Orphaned,
    /// The companion has reported it.
    Reported,
}
