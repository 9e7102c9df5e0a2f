//! Failure statistics of one upstream.

use toucanquay_model::Time;

/// Number of consecutive failures that makes an upstream an outlier.
const FAILURE_STREAK_MAX: u32 = 5;

/// Share of failed requests that makes an upstream an outlier.
const FAILURE_SHARE_MAX: f64 = 0.5;

/// Smoothing factor of the failure share.
const OUTCOME_WEIGHT: f64 = 0.05;

/// Number of successful probes after which an upstream returns to service.
const PROBES_TO_RETURN: u32 = 3;

/// Minimum and maximum duration of an ejection, in milliseconds. It doubles with each consecutive
/// ejection.
const EJECTION_MILLIS: std::ops::RangeInclusive<u64> = 1_000..=30_000;

/// Ejection phase of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Phase {
    /// Receives requests.
    #[default]
    InService,
    /// Receives no requests.
    Ejected,
    /// Receives one request at a time.
    Probing,
}

/// Failure statistics and ejection state of one upstream.
#[derive(Debug, Clone, Default)]
pub(super) struct Record {
    phase: Phase,
    failure_streak: u32,
    failure_share: f64,
    probes: u32,
    ejection_streak: u32,
    ejected_until: Time,
}

impl Record {
    pub(super) const fn phase(&self) -> Phase {
        self.phase
    }

    pub(super) fn ejected_until(&self) -> Option<Time> {
        (self.phase == Phase::Ejected).then_some(self.ejected_until)
    }

    pub(super) fn is_outlier(&self) -> bool {
        self.failure_streak >= FAILURE_STREAK_MAX || self.failure_share >= FAILURE_SHARE_MAX
    }

    pub(super) fn succeed(&mut self) {
        self.failure_streak = 0;
        self.failure_share -= OUTCOME_WEIGHT * self.failure_share;
        match self.phase {
            Phase::InService if self.failure_share < OUTCOME_WEIGHT => self.ejection_streak = 0,
            Phase::Probing => {
                self.probes += 1;
                if self.probes >= PROBES_TO_RETURN {
                    self.phase = Phase::InService;
                    self.failure_share = 0.0;
                }
            }
            Phase::InService | Phase::Ejected => {}
        }
    }

    pub(super) fn fail(&mut self) {
        self.failure_streak = self.failure_streak.saturating_add(1);
        self.failure_share += OUTCOME_WEIGHT * (1.0 - self.failure_share);
    }

    pub(super) fn eject(&mut self, now: Time) {
        let millis = EJECTION_MILLIS.start() << self.ejection_streak.min(16);
        self.ejected_until = now.plus_millis(millis.min(*EJECTION_MILLIS.end()));
        self.ejection_streak += 1;
        self.phase = Phase::Ejected;
    }

    pub(super) fn tick(&mut self, now: Time) {
        if self.phase == Phase::Ejected && now >= self.ejected_until {
            self.phase = Phase::Probing;
            self.probes = 0;
            self.failure_streak = 0;
        }
    }
}
