//! State of one attempt on a worker.

use toucanquay_model::{
    Time,
    session::{Phase, Profile},
};
use toucanquay_policy::image_interference::{Estimate, InterferenceModel, LATENCY_SETPOINT_RATIO};

use super::gauge_estimator::GaugeEstimator;

/// State of one attempt, as its companion knows it.
#[derive(Debug)]
pub(super) struct AttemptState {
    pub(super) phase: Phase,
    /// Profile of the task. Unknown for an attempt that was discovered on the worker, until the
    /// owner sends it.
    pub(super) profile: Option<Profile>,
    pub(super) checkpoint: Option<String>,
    pub(super) done_percent: u8,
    pub(super) gauge: GaugeEstimator,
    /// Pace that the attempt should have, in percent.
    pub(super) pace_percent: u8,
    /// Pace of the last call that sets it, in percent.
    pub(super) pace_sent_percent: Option<u8>,
    /// When the pace is due to be set.
    pub(super) pace_at: Time,
    /// Until when a call that sets the pace is in flight.
    pub(super) pace_call_until: Time,
    /// Until when an unanswered call may still set its pace.
    pub(super) pace_uncertain_until: Time,
    /// Estimated load of a sensitive task: the busy share of its time in the absence of
    /// interference.
    pub(super) load: Estimate,
    /// Time since which the current latency has exceeded its target.
    pub(super) over_target_since: Option<Time>,
    /// From when on the start may not begin any more.
    pub(super) starts_until: Time,
    /// When a stop is due.
    pub(super) stop_at: Time,
    /// Whether the worker has carried out a stop, so that the attempt ends whoever ordered it.
    pub(super) is_stop_confirmed: bool,
    /// A list that is requested at or after this time shows the attempt if it is on the worker.
    /// `None` while no call about the attempt has a definite outcome.
    pub(super) outcome_known_at: Option<Time>,
    pub(super) is_listed: bool,
    /// When an answer or a list first showed that the worker had begun the attempt.
    pub(super) begun_at: Option<Time>,
    /// Whether the owner waits to learn whether the worker outlives the start.
    pub(super) is_probe: bool,
    /// Whether a list has shown the attempt long enough after the worker had begun it.
    pub(super) has_survived_start: bool,
    /// Number of the first update that contained the rejection.
    pub(super) reported_in: Option<u64>,
}

impl AttemptState {
    /// Pace of an attempt when it starts, in percent.
    pub(super) const FULL_PACE_PERCENT: u8 = 100;

    pub(super) fn starting(profile: Profile, is_probe: bool) -> Self {
        Self {
            is_probe,
            ..Self::new(Phase::Starting, Some(profile))
        }
    }

    /// Returns the state of an attempt that was discovered on the worker, or that an earlier
    /// companion process may have started.
    pub(super) fn discovered() -> Self {
        Self::found(None)
    }

    /// Returns the state of an attempt that was found on the worker.
    pub(super) fn found(profile: Option<Profile>) -> Self {
        Self::new(Phase::Running, profile)
    }

    fn new(phase: Phase, profile: Option<Profile>) -> Self {
        Self {
            phase,
            profile,
            checkpoint: None,
            done_percent: 0,
            gauge: GaugeEstimator::new(),
            pace_percent: Self::FULL_PACE_PERCENT,
            pace_sent_percent: None,
            pace_at: Time::NEVER,
            pace_call_until: Time::ZERO,
            pace_uncertain_until: Time::ZERO,
            load: InterferenceModel::prior_load(),
            over_target_since: None,
            starts_until: Time::NEVER,
            stop_at: Time::NEVER,
            is_stop_confirmed: false,
            outcome_known_at: None,
            is_listed: false,
            begun_at: None,
            is_probe: false,
            has_survived_start: false,
            reported_in: None,
        }
    }

    /// Records that the attempt is on the worker.
    pub(super) fn confirm_running(&mut self, now: Time) {
        self.begun_at.get_or_insert(now);
        if matches!(self.phase, Phase::Starting) {
            self.phase = Phase::Running;
            self.stop_at = Time::NEVER;
        }
        if matches!(self.phase, Phase::Running) && self.outcome_known_at.is_none() {
            self.outcome_known_at = Some(now);
        }
    }

    /// Records that the worker has carried out a stop at `now`.
    pub(super) const fn confirm_stop(&mut self, now: Time) {
        self.is_stop_confirmed = true;
        self.outcome_known_at = Some(now);
        if matches!(self.phase, Phase::Running) {
            self.phase = Phase::Stopping;
        }
    }

    /// Withdraws the stop that a former owner ordered, so that the new owner decides. A stop that
    /// was carried out can't be withdrawn, and one of a start that may still take effect is kept.
    pub(super) const fn withdraw_stop(&mut self) {
        if matches!(self.phase, Phase::Stopping) && self.is_listed && !self.is_stop_confirmed {
            self.phase = Phase::Running;
            self.stop_at = Time::NEVER;
        }
    }

    /// Records whether the worker, which lives at `alive_at`, has outlived the start by
    /// `risk_micros`.
    pub(super) fn outlive_start(&mut self, risk_micros: u64, alive_at: Time) {
        let risk_end = self.begun_at.map(|at| at.plus_micros(risk_micros));
        let is_over = risk_end.is_some_and(|end| alive_at >= end);
        self.has_survived_start |= self.is_listed && is_over;
    }

    /// Returns whether the attempt may have caused a crash of the worker.
    pub(super) const fn is_suspect(&self) -> bool {
        self.is_on_worker() && !self.has_survived_start
    }

    pub(super) const fn is_on_worker(&self) -> bool {
        !matches!(self.phase, Phase::Rejected(_))
    }

    /// Returns whether the attempt uses only idle processors.
    pub(super) fn uses_idle(&self) -> bool {
        self.profile.is_some_and(|profile| profile.uses_idle)
    }

    /// Returns whether the pace of the attempt may be reduced for its neighbours.
    pub(super) fn is_paced(&self) -> bool {
        self.uses_idle() && self.phase == Phase::Running
    }

    /// Returns whether a call that sets the pace is due. Calls may overtake each other, so that only
    /// one is in flight.
    pub(super) fn is_pace_due(&self, now: Time) -> bool {
        now >= self.pace_at && now >= self.pace_call_until && self.is_paced()
    }

    /// Returns the key that the owner assigned to the image.
    pub(super) fn image(&self) -> usize {
        self.profile
            .map_or(usize::MAX, |profile| profile.image as usize)
    }

    /// Returns the key of the image if the attempt is latency-sensitive.
    pub(super) fn sensitive_image(&self) -> Option<usize> {
        let profile = self.profile.filter(|_| self.phase == Phase::Running)?;
        profile.latency_target_ms.map(|_| profile.image as usize)
    }

    /// Processes the gauge that the worker reports. Returns whether it was renewed.
    pub(super) fn record_gauge(&mut self, average: u32, now: Time) -> bool {
        let is_renewed = self.gauge.update(average, now);
        let target_ms = self.profile.and_then(|profile| profile.latency_target_ms);
        if target_ms.is_some_and(|target_ms| self.gauge.current() > target_ms) {
            self.over_target_since.get_or_insert(now);
        } else {
            self.over_target_since = None;
        }
        is_renewed
    }

    /// Returns the ratio of the current latency to its target, in percent.
    pub(super) fn latency_percent(&self) -> Option<u32> {
        let target_ms = self.profile?.latency_target_ms?;
        let scaled_latency = self.gauge.current().saturating_mul(100);
        (self.phase == Phase::Running).then(|| scaled_latency / target_ms.max(1))
    }

    /// Returns the latency that pacing aims for, in milliseconds.
    pub(super) fn latency_setpoint_ms(&self) -> f64 {
        let target_ms = self.profile.and_then(|profile| profile.latency_target_ms);
        f64::from(target_ms.unwrap_or(0)) * LATENCY_SETPOINT_RATIO
    }
}
