//! Duration that is expected of the attempts of one step.

use super::{Ratios, Siblings};

/// Share of the tasks that the tail begins after.
const TAIL_SHARE: f64 = 0.9;

/// Tail as a multiple of the estimate as long as nothing is learned.
const UNKNOWN_TAIL: u64 = 4;

/// Progress from which on an attempt's own speed tells when it ends, in percent.
const PERCENT_MIN: u8 = 5;

/// Multiple of the duration of a new attempt that the running one must still take for a new one to
/// pay. The processors of both are busy until the first one ends.
const REMAINING_FACTOR: u64 = 2;

/// Time from an order until an attempt works, in milliseconds.
const START_MS: u64 = 100;

/// Duration that is expected of the attempts of one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Forecast {
    /// Usual duration in milliseconds.
    pub typical_ms: u64,
    /// Duration that few attempts exceed, in milliseconds.
    pub tail_ms: u64,
    /// Duration from which on an attempt may be late, in milliseconds.
    pub late_after_ms: u64,
}

impl Forecast {
    /// Returns the forecast for a step from the durations of its tasks; if too few are known, from
    /// the ratios of earlier tasks that run the same program, or else from the estimate alone.
    ///
    /// The estimate of a whole step may be too low. Without siblings that tell, an attempt is
    /// therefore only late beyond the tail.
    #[must_use]
    pub fn new(estimate_ms: u64, siblings: &Siblings, ratios: Option<&Ratios>) -> Self {
        let estimate_ms = estimate_ms.max(1);
        if let (Some(typical_ms), Some(tail_ms)) =
            (siblings.quantile_ms(0.5), siblings.quantile_ms(TAIL_SHARE))
        {
            return Self {
                typical_ms,
                tail_ms,
                late_after_ms: typical_ms,
            };
        }
        let scaled = |share| {
            let ratio = ratios?.quantile(share)?;
            Some((estimate_ms as f64 * ratio) as u64)
        };
        let tail_ms =
            scaled(TAIL_SHARE).unwrap_or_else(|| estimate_ms.saturating_mul(UNKNOWN_TAIL));
        Self {
            typical_ms: scaled(0.5).unwrap_or(estimate_ms),
            tail_ms,
            late_after_ms: tail_ms,
        }
    }

    /// Returns how long an attempt will still take, in milliseconds. One without known progress that
    /// has lasted beyond the tail is expected to take as long again as it has so far.
    #[must_use]
    pub fn remaining_ms(&self, elapsed_ms: u64, done_percent: u8) -> u64 {
        if done_percent >= PERCENT_MIN {
            let left = 100_u64.saturating_sub(u64::from(done_percent));
            return elapsed_ms.saturating_mul(left) / u64::from(done_percent);
        }
        if elapsed_ms >= self.tail_ms {
            return elapsed_ms;
        }
        self.typical_ms.saturating_sub(elapsed_ms)
    }

    /// Returns the time that a second attempt saves, in milliseconds, or `None` if it isn't worth its
    /// processors.
    #[must_use]
    pub fn saving_ms(&self, elapsed_ms: u64, done_percent: u8) -> Option<u64> {
        if elapsed_ms < self.late_after_ms {
            return None;
        }
        self.saving_of(self.remaining_ms(elapsed_ms, done_percent))
    }

    /// Returns the time that a second attempt saves, in milliseconds, if the first one will still
    /// take `remaining_ms`.
    #[must_use]
    pub const fn saving_of(&self, remaining_ms: u64) -> Option<u64> {
        let new_ms = self.typical_ms.saturating_add(START_MS);
        if remaining_ms < new_ms.saturating_mul(REMAINING_FACTOR) {
            return None;
        }
        Some(remaining_ms - new_ms)
    }
}
