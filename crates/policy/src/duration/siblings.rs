//! Durations of the tasks of one step.

use smallvec::SmallVec;

/// Number of durations that are kept.
const DURATIONS_MAX: usize = 16;

/// Number of durations from which on quantiles are known.
const DURATIONS_MIN: usize = 3;

/// Progress from which on the duration of a running attempt is foreseen, in percent.
const PERCENT_MIN: u8 = 5;

/// Durations of the last tasks of one step, in milliseconds.
#[derive(Debug, Clone, Default)]
pub struct Siblings {
    durations: SmallVec<[u32; 4]>,
    recorded: usize,
}

impl Siblings {
    /// Adds the duration of a task, and drops the oldest one if there are too many.
    pub fn record(&mut self, duration_ms: u64) {
        let duration_ms = u32::try_from(duration_ms).unwrap_or(u32::MAX);
        match self.durations.get_mut(self.recorded % DURATIONS_MAX) {
            Some(oldest) => *oldest = duration_ms,
            None => self.durations.push(duration_ms),
        }
        self.recorded += 1;
    }

    /// Adds the foreseen duration of a running attempt, if its progress tells.
    pub fn foresee(&mut self, elapsed_ms: u64, done_percent: u8) {
        if done_percent >= PERCENT_MIN {
            self.record(elapsed_ms.saturating_mul(100) / u64::from(done_percent));
        }
    }

    /// Returns the duration that a share of the tasks doesn't exceed. Returns `None` if too few are
    /// known.
    #[must_use]
    pub fn quantile_ms(&self, share: f64) -> Option<u64> {
        if self.durations.len() < DURATIONS_MIN {
            return None;
        }
        let mut sorted = self.durations.clone();
        sorted.sort_unstable();
        let rank = (share.clamp(0.0, 1.0) * (sorted.len() - 1) as f64).round() as usize;
        sorted.get(rank).copied().map(u64::from)
    }
}
