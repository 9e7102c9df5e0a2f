//! Outcomes of second attempts.

use toucanquay_model::Time;

/// Factor by which earlier outcomes count less with each further one.
const DECAY: f64 = 0.95;

/// Share of second attempts that end first below which they are started only to learn.
const SHARE_MIN: f64 = 0.2;

/// Time between second attempts that are started only to learn, in microseconds.
const LEARNING_INTERVAL_MICROS: u64 = 10_000_000;

/// How often second attempts of late tasks have ended before the first ones.
#[derive(Debug, Clone, Copy, Default)]
pub struct Trials {
    won: f64,
    lost: f64,
    next_at: Time,
}

impl Trials {
    /// Adds an outcome.
    pub const fn record(&mut self, is_won: bool) {
        self.won *= DECAY;
        self.lost *= DECAY;
        if is_won {
            self.won += 1.0;
        } else {
            self.lost += 1.0;
        }
    }

    /// Returns the share of second attempts that end first, which is a half before any is known.
    #[must_use]
    pub const fn won_share(&self) -> f64 {
        (self.won + 1.0) / (self.won + self.lost + 2.0)
    }

    /// Returns whether a second attempt may be started. Where most of them are in vain, a single one
    /// may from time to time, as the cause of late tasks changes.
    #[must_use]
    pub fn may_begin(&self, now: Time) -> bool {
        self.won_share() >= SHARE_MIN || now >= self.next_at
    }

    /// Records that a second attempt is started.
    pub const fn begin(&mut self, now: Time) {
        self.next_at = now.plus_micros(LEARNING_INTERVAL_MICROS);
    }
}
