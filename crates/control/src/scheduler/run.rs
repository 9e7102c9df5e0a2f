//! State of one attempt.

use toucanquay_model::{
    Resources, Time,
    graph::{Place, Step},
    session,
};

use toucanquay_policy::image_interference::{Estimate, InterferenceModel};

use super::key::{HostKey, JobKey};

/// Time from a start until reports include the attempt's processor usage.
const FIRST_MEASUREMENT_MICROS: u64 = 700_000;

/// Pace below which an attempt counts as slow, in percent.
const SLOW_PACE_PERCENT: u8 = 50;

/// Attempt that is or may be on a worker.
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
    /// Number of the orders that contained the start, or the stop that determines whether the
    /// attempt can still start; `None` until they are sent. It is 0 if the attempt was adopted, or
    /// was listed in the first update of a later session.
    pub(super) orders_number: Option<u64>,
    pub(super) is_stopping: bool,
    /// The attempt was started beside another one of its task.
    pub(super) is_copy: bool,
    /// A former owner started the attempt, so that the time of its start isn't known.
    pub(super) is_adopted: bool,
    /// A former process of the agent may have sent the start, so that the attempt is only released
    /// once its stop is answered.
    pub(super) is_unresolved: bool,
    /// The worker has confirmed the start.
    pub(super) has_begun: bool,
    /// The worker has outlived the start.
    pub(super) has_survived_start: bool,
    pub(super) done_percent: u8,
    /// When [`done_percent`](Self::done_percent) was reported.
    pub(super) progress_at: Time,
    /// Latency of a sensitive task in milliseconds, or else processors in use in thousandths, as
    /// reported by the worker.
    pub(super) gauge: u32,
    /// Key of its image in the interference model.
    pub(super) image: usize,
    /// Estimated load of a sensitive task: the busy share of its time in the absence of
    /// interference.
    pub(super) load: Estimate,
    /// Processors in use, in thousandths; the demand until the usage is reported.
    pub(super) used_milli: u32,
    /// Time since which the pace has been below [`SLOW_PACE_PERCENT`].
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
            orders_number: None,
            is_stopping: false,
            is_copy: false,
            is_adopted: false,
            is_unresolved: false,
            has_begun: false,
            has_survived_start: false,
            done_percent: 0,
            progress_at: now,
            gauge: 0,
            image,
            load: InterferenceModel::prior_load(),
            used_milli: step.idle_milli(),
            slow_since: None,
        }
    }

    /// Updates the attempt from the worker's report.
    pub(super) fn apply_report(&mut self, reported: &session::AttemptStatus, now: Time) {
        self.done_percent = reported.done_percent;
        self.progress_at = now;
        self.has_begun |= reported.phase == session::Phase::Running;
        self.has_survived_start = reported.has_survived_start;
        self.gauge = reported.gauge;
        // The first report precedes the first measurement.
        if self.idle_milli > 0 && now >= self.started_at.plus_micros(FIRST_MEASUREMENT_MICROS) {
            self.used_milli = reported.gauge;
        }
        if reported.pace_percent >= SLOW_PACE_PERCENT {
            self.slow_since = None;
        } else {
            self.slow_since.get_or_insert(now);
        }
    }

    /// Returns whether the worker has confirmed the start and is not to stop the attempt.
    pub(super) const fn is_active(&self) -> bool {
        self.has_begun && !self.is_stopping
    }

    /// Returns whether the attempt has a latency target, and so is sensitive to interference from
    /// other attempts.
    pub(super) const fn is_sensitive(&self) -> bool {
        self.latency_target_ms.is_some()
    }

    /// Returns the time that was left when its progress was reported, if the whole task takes
    /// `run_micros`.
    pub(super) const fn left_micros(&self, run_micros: u64) -> u64 {
        let left_percent = 100_u64.saturating_sub(self.done_percent as u64);
        run_micros.saturating_mul(left_percent) / 100
    }

    /// Returns whether the attempt finishes within a time if it continues at its average speed so
    /// far.
    pub(super) const fn is_done_within(&self, micros: u64, now: Time) -> bool {
        let elapsed = now.micros_since(self.started_at);
        let left = 100_u64.saturating_sub(self.done_percent as u64);
        elapsed.saturating_mul(left) < micros.saturating_mul(self.done_percent as u64)
    }
}
