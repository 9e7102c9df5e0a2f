//! One attempt.

use toucanquay_model::{Resources, Time, graph::Place};

use super::key::{HostKey, JobKey};

/// An attempt that is on a worker or may be.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) job: JobKey,
    pub(super) place: Place,
    pub(super) attempt: u64,
    pub(super) host: HostKey,
    pub(super) occupied: Resources,
    /// Processors that it uses if they are idle, in thousandths.
    pub(super) idle_milli: u32,
    pub(super) is_sensitive: bool,
    pub(super) started_at: Time,
    /// Number of the orders that contained the start or the resolving stop; `None` until sent.
    pub(super) ordered_in: Option<u64>,
    pub(super) is_stopping: bool,
    pub(super) done_percent: u8,
}

impl Run {
    /// Tells whether the attempt ends within a time, if it goes on as before.
    pub(super) const fn is_done_within(&self, micros: u64, now: Time) -> bool {
        let elapsed = now.micros_since(self.started_at);
        let left = 100_u64.saturating_sub(self.done_percent as u64);
        elapsed.saturating_mul(left) < micros.saturating_mul(self.done_percent as u64)
    }
}
