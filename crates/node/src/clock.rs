//! Monotonic and wall-clock time of the host.

use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use tokio::time::{Duration, Instant};
use toucanquay_model::Time;

/// Monotonic clock that keeps running while the host is suspended, so that leases expire on time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock;

impl Clock {
    /// Returns the time since boot.
    #[must_use]
    pub fn now(self) -> Time {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
        Time::from_micros(seconds * 1_000_000 + nanos / 1_000)
    }

    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    #[must_use]
    pub fn unix_ms(self) -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        since_epoch.map_or(0, |time| {
            u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
        })
    }

    /// Converts `time` to an instant of the async runtime, at most one hour in the future.
    #[must_use]
    pub fn instant(self, time: Time) -> Instant {
        const HOUR_MICROS: u64 = 3_600_000_000;
        let delay = time.micros_since(self.now()).min(HOUR_MICROS);
        Instant::now() + Duration::from_micros(delay)
    }
}
