//! The process's monotonic clock.

use tokio::time::{Duration, Instant};
use toucanquay_model::Time;

/// Turns the runtime's clock into [`Time`] and back. Copies share the zero.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Returns a clock whose zero is now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the present time.
    #[must_use]
    pub fn now(&self) -> Time {
        let micros = self.origin.elapsed().as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the runtime's instant of `time`, at most a year ahead.
    #[must_use]
    pub fn instant(&self, time: Time) -> Instant {
        /// The runtime's timer can't represent arbitrarily late instants.
        const YEAR_MICROS: u64 = 365 * 24 * 3_600 * 1_000_000;
        self.origin + Duration::from_micros(time.as_micros().min(YEAR_MICROS))
    }
}
