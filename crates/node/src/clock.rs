//! The host's clock.

use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use tokio::time::{Duration, Instant};
use toucanquay_model::Time;

/// Steady time that goes on while the host is suspended, so that leases end in time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock;

impl Clock {
    /// Returns the time since the host started.
    #[must_use]
    pub fn now(self) -> Time {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
        Time::from_micros(seconds * 1_000_000 + nanos / 1_000)
    }

    /// Returns the time of day in milliseconds since 1970.
    #[must_use]
    pub fn unix_ms(self) -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        since_epoch.map_or(0, |time| {
            u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
        })
    }

    /// Returns the runtime's instant that belongs to `time`, at most an hour ahead.
    #[must_use]
    pub fn instant(self, time: Time) -> Instant {
        const HOUR_MICROS: u64 = 3_600_000_000;
        let delay = time.micros_since(self.now()).min(HOUR_MICROS);
        Instant::now() + Duration::from_micros(delay)
    }
}
