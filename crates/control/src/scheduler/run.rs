//! One attempt.

use toucanquay_model::{
    Resources, Time,
    graph::{Place, Step},
    session,
};

use toucanquay_policy::pressure::{Estimate, Model};

use super::key::{HostKey, JobKey};

/// Time from a start until a report covers the attempt's use of processors.
const MEASURED_MICROS: u64 = 700_000;

/// Pace below which an attempt would better run elsewhere, in percent.
const SLOW_PERCENT: u8 = 35;

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
    pub(super) latency_target_ms: Option<u32>,
    pub(super) started_at: Time,
    /// Number of the orders that contained the start or the resolving stop; `None` until sent.
    pub(super) ordered_in: Option<u64>,
    pub(super) is_stopping: bool,
    pub(super) done_percent: u8,
    /// Latency or processors in use, as the worker reports them.
    pub(super) gauge: u32,
    /// Key of its image in the model of interference.
    pub(super) image: usize,
    /// Busy share of a sensitive task's time without neighbours.
    pub(super) load: Estimate,
    /// Processors in use, in thousandths; the demand until it is reported.
    pub(super) used_milli: u32,
    /// Since when the pace has been low.
    pub(super) slow_since: Option<Time>,
}

impl Run {
    pub(super) fn new(
        job: JobKey,
        place: Place,
        attempt: u64,
        host: HostKey,
        step: &Step,
        image: usize,
        now: Time,
    ) -> Self {
        Self {
            job,
            place,
            attempt,
            host,
            occupied: step.occupied(),
            idle_milli: step.idle_milli(),
            latency_target_ms: step.latency_target_ms,
            started_at: now,
            ordered_in: None,
            is_stopping: false,
            done_percent: 0,
            gauge: 0,
            image,
            load: Model::unknown_load(),
            used_milli: step.idle_milli(),
            slow_since: None,
        }
    }

    /// Takes what the worker reports.
    pub(super) fn observe(&mut self, row: &session::AttemptStatus, now: Time) {
        self.done_percent = row.done_percent;
        self.gauge = row.gauge;
        // The first report comes before anything was measured.
        if self.idle_milli > 0 && now >= self.started_at.plus_micros(MEASURED_MICROS) {
            self.used_milli = row.gauge;
        }
        if row.pace_percent >= SLOW_PERCENT {
            self.slow_since = None;
        } else {
            self.slow_since.get_or_insert(now);
        }
    }

    /// Tells whether the attempt's own users feel its neighbours.
    pub(super) const fn is_sensitive(&self) -> bool {
        self.latency_target_ms.is_some()
    }

    /// Tells whether the attempt ends within a time, if it goes on as before.
    pub(super) const fn is_done_within(&self, micros: u64, now: Time) -> bool {
        let elapsed = now.micros_since(self.started_at);
        let left = 100_u64.saturating_sub(self.done_percent as u64);
        elapsed.saturating_mul(left) < micros.saturating_mul(self.done_percent as u64)
    }
}
