//! One attempt in a companion's table.

use toucanquay_model::{
    Time,
    session::{Phase, Profile},
};

use super::pacer::Pacer;

/// One attempt.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) phase: Phase,
    /// Unknown for an attempt that was found on the worker, until the owner sends it.
    pub(super) profile: Option<Profile>,
    pub(super) checkpoint: Option<String>,
    pub(super) done_percent: u8,
    pub(super) gauge: u32,
    pub(super) pace: u8,
    /// When to send a stop.
    pub(super) stop_at: Time,
    /// A list that was asked for after this time shows the attempt if it is on the worker.
    pub(super) settled_at: Option<Time>,
    pub(super) is_listed: bool,
    /// First update that contained the rejection.
    pub(super) reported_in: Option<u64>,
}

impl Entry {
    /// Pace of an attempt when it starts, in percent.
    pub(super) const FULL_PACE: u8 = 100;

    pub(super) const fn starting(profile: Profile) -> Self {
        Self::new(Phase::Starting, Some(profile))
    }

    /// An attempt that was found on the worker, or that an earlier process may have started.
    pub(super) const fn adopted() -> Self {
        Self::new(Phase::Running, None)
    }

    const fn new(phase: Phase, profile: Option<Profile>) -> Self {
        Self {
            phase,
            profile,
            checkpoint: None,
            done_percent: 0,
            gauge: 0,
            pace: Self::FULL_PACE,
            stop_at: Time::NEVER,
            settled_at: None,
            is_listed: false,
            reported_in: None,
        }
    }

    /// The attempt is known to be on the worker.
    pub(super) const fn confirm(&mut self, now: Time) {
        if matches!(self.phase, Phase::Starting) {
            self.phase = Phase::Running;
            self.stop_at = Time::NEVER;
        }
        if matches!(self.phase, Phase::Running) && self.settled_at.is_none() {
            self.settled_at = Some(now);
        }
    }

    pub(super) const fn is_on_worker(&self) -> bool {
        !matches!(self.phase, Phase::Rejected(_))
    }

    /// Returns the pace at which the attempt begins, unless it is the full one.
    pub(super) fn begin_pace(&mut self, worst: Option<u32>) -> Option<u8> {
        if !self.is_paced() {
            return None;
        }
        self.pace = Pacer::first(worst, self.profile?.pressure_percent);
        (self.pace != Self::FULL_PACE).then_some(self.pace)
    }

    /// Tells whether the attempt may be slowed down for its neighbours.
    pub(super) fn is_paced(&self) -> bool {
        let uses_idle = self.profile.is_some_and(|profile| profile.uses_idle);
        uses_idle && self.phase == Phase::Running
    }

    /// Returns the latency as a share of its target, in percent.
    pub(super) fn latency_percent(&self) -> Option<u32> {
        let target = self.profile?.latency_target_ms?;
        (self.phase == Phase::Running).then(|| self.gauge.saturating_mul(100) / target.max(1))
    }
}
