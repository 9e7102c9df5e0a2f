//! Monotonic clocks that run at different rates.

use toucanquay_model::Time;

/// Maps the time of the simulation to a process's monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Reading at the start of the simulation, in microseconds.
    pub offset: u64,
    /// Rate of the clock against simulated time, in thousandths.
    pub rate: u64,
}

impl Clock {
    /// Returns the reading of the clock at the simulated time `at`, in microseconds.
    pub fn read(&self, at: u64) -> Time {
        Time::from_micros(self.offset + at / 1_000 * self.rate + at % 1_000)
    }
}
