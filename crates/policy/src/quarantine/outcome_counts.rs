//! Outcome counts with exponential decay.

use toucanquay_model::Time;

/// Success and failure counts that decay exponentially with time.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct OutcomeCounts {
    pub successes: f64,
    pub failures: f64,
    updated_at: Time,
}

impl OutcomeCounts {
    pub fn add(&mut self, is_success: bool, now: Time, half_life_micros: u64) {
        *self = self.decayed_to(now, half_life_micros);
        if is_success {
            self.successes += 1.0;
        } else {
            self.failures += 1.0;
        }
    }

    /// Returns the counts decayed to the time `now`.
    pub fn decayed_to(&self, now: Time, half_life_micros: u64) -> Self {
        let age = now.micros_since(self.updated_at) as f64 / half_life_micros.max(1) as f64;
        let factor = (-age).exp2();
        Self {
            successes: self.successes * factor,
            failures: self.failures * factor,
            updated_at: self.updated_at.max(now),
        }
    }

    pub fn total(&self) -> f64 {
        self.successes + self.failures
    }
}
