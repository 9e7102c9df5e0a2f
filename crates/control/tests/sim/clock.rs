//! Clocks that run at different rates.

use toucanquay_model::Time;

/// A process's monotonic clock against the time of the simulation.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    pub offset: u64,
    /// Rate in thousandths.
    pub rate: u64,
}

impl Clock {
    pub fn read(&self, at: u64) -> Time {
        Time::from_micros(self.offset + at / 1_000 * self.rate + at % 1_000)
    }
}
