//! Speed of one host.

use toucanquay_model::Time;

/// Bound of the logarithm of a ratio, to base 2: from an eighth to eight times as fast.
const LOG_MAX: f64 = 3.0;

/// Time in which what was learned loses half of its weight, in microseconds.
const HALF_LIFE_MICROS: f64 = 20_000_000.0;

/// Maximum weight of what was learned, as a number of ends.
const WEIGHT_MAX: f64 = 12.0;

/// Weight of the assumption that a host is as fast as the others, as a number of ends.
const PRIOR_WEIGHT: f64 = 2.0;

/// Speed of one host as a ratio to that of the others, learned from the ends of tasks there. Without
/// news, it returns to 1.
#[derive(Debug, Clone, Copy, Default)]
pub struct Speed {
    log: f64,
    weight: f64,
    learned_at: Time,
}

impl Speed {
    /// Learns from a task that took `duration_ms` here while `typical_ms` is usual.
    pub fn record(&mut self, typical_ms: u64, duration_ms: u64, now: Time) {
        let ratio = typical_ms.max(1) as f64 / duration_ms.max(1) as f64;
        let log = ratio.log2().clamp(-LOG_MAX, LOG_MAX);
        let weight = self.weight_at(now);
        self.log = (self.log * weight + log) / (weight + 1.0);
        self.weight = (weight + 1.0).min(WEIGHT_MAX);
        self.learned_at = now;
    }

    /// Returns the speed: 1 is usual, 0.5 half of it.
    #[must_use]
    pub fn ratio(&self, now: Time) -> f64 {
        let weight = self.weight_at(now);
        (self.log * weight / (weight + PRIOR_WEIGHT)).exp2()
    }

    fn weight_at(&self, now: Time) -> f64 {
        let age_micros = now.micros_since(self.learned_at) as f64;
        self.weight * (-age_micros / HALF_LIFE_MICROS).exp2()
    }
}
