//! Monotonic clock of the process.

use tokio::time::{Duration, Instant};
use toucanquay_model::Time;

/// Converts between instants of the async runtime and [`Time`]. Copies share the origin.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock whose origin is the current instant.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Time {
        let micros = self.origin.elapsed().as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Converts `time` to an instant of the runtime, at most one year after the origin.
    #[must_use]
    pub fn instant(&self, time: Time) -> Instant {
        /// The runtime's timer cannot represent arbitrarily late instants.
        const YEAR_MICROS: u64 = 365 * 24 * 3_600 * 1_000_000;
        self.origin + Duration::from_micros(time.as_micros().min(YEAR_MICROS))
    }
}
