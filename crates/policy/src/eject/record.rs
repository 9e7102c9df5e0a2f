//! What is known of one upstream's failures.

use toucanquay_model::Time;

/// Failures in a row that make an upstream an outlier.
const FAILURES_IN_A_ROW: u32 = 5;

/// Failure share that makes an upstream an outlier.
const FAILURE_SHARE: f64 = 0.5;

/// Weight of a new outcome in the failure share.
const OUTCOME_WEIGHT: f64 = 0.05;

/// Successful probes after which an upstream returns.
const PROBES: u32 = 3;

/// Shortest and longest ejection, in milliseconds. It doubles with each one in a row.
const OUT_MILLIS: std::ops::RangeInclusive<u64> = 1_000..=30_000;

/// Whether an upstream is in service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Phase {
    /// It gets requests.
    #[default]
    In,
    /// It gets none.
    Out,
    /// It gets one at a time.
    Probing,
}

#[derive(Debug, Clone, Default)]
pub(super) struct Record {
    phase: Phase,
    failures_in_a_row: u32,
    failure_share: f64,
    probes: u32,
    ejections_in_a_row: u32,
    out_until: Time,
}

impl Record {
    pub(super) const fn phase(&self) -> Phase {
        self.phase
    }

    pub(super) fn out_until(&self) -> Option<Time> {
        (self.phase == Phase::Out).then_some(self.out_until)
    }

    pub(super) fn is_outlier(&self) -> bool {
        self.failures_in_a_row >= FAILURES_IN_A_ROW || self.failure_share >= FAILURE_SHARE
    }

    pub(super) fn succeed(&mut self) {
        self.failures_in_a_row = 0;
        self.failure_share -= OUTCOME_WEIGHT * self.failure_share;
        match self.phase {
            Phase::In if self.failure_share < OUTCOME_WEIGHT => self.ejections_in_a_row = 0,
            Phase::Probing => {
                self.probes += 1;
                if self.probes >= PROBES {
                    self.phase = Phase::In;
                    self.failure_share = 0.0;
                }
            }
            Phase::In | Phase::Out => {}
        }
    }

    pub(super) fn fail(&mut self) {
        self.failures_in_a_row = self.failures_in_a_row.saturating_add(1);
        self.failure_share += OUTCOME_WEIGHT * (1.0 - self.failure_share);
    }

    pub(super) fn eject(&mut self, now: Time) {
        let millis = OUT_MILLIS.start() << self.ejections_in_a_row.min(16);
        self.out_until = now.plus_millis(millis.min(*OUT_MILLIS.end()));
        self.ejections_in_a_row += 1;
        self.phase = Phase::Out;
    }

    pub(super) fn tick(&mut self, now: Time) {
        if self.phase == Phase::Out && now >= self.out_until {
            self.phase = Phase::Probing;
            self.probes = 0;
            self.failures_in_a_row = 0;
        }
    }
}
