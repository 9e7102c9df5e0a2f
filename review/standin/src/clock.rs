//! Time of day.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the time of day in microseconds since 1970.
pub fn unix_micros() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_micros() as u64)
}
