//! Token bucket.

use toucanquay_model::Time;

/// Token bucket that refills at a constant rate up to its burst size.
#[derive(Debug, Clone)]
pub(super) struct TokenBucket {
    tokens: f64,
    burst: f64,
    per_micro: f64,
    updated_at: Time,
}

impl TokenBucket {
    /// Creates a full bucket that gains one token every `interval_micros`.
    pub fn new(burst: u32, interval_micros: u64) -> Self {
        Self {
            tokens: f64::from(burst),
            burst: f64::from(burst),
            per_micro: 1.0 / interval_micros.max(1) as f64,
            updated_at: Time::ZERO,
        }
    }

    /// Takes a token. Returns whether one was available.
    pub fn take(&mut self, now: Time) -> bool {
        let refill = now.micros_since(self.updated_at) as f64 * self.per_micro;
        self.tokens = (self.tokens + refill).min(self.burst);
        self.updated_at = self.updated_at.max(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
