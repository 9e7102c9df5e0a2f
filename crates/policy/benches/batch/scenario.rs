//! Scenarios.

use clap::ValueEnum;

/// What happens during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// Steady demand.
    Calm,
    /// Demand times four for 20 s in each minute, reached within 3 s.
    Peak,
    /// In each third minute, half of the tasks of all kinds slow lookups down four times as much.
    Noisy,
    /// Three of the workers, one rack, are lost for ten minutes.
    HostLoss,
    /// One worker fails each task after 1 s.
    BadWorker,
    /// Two jobs with 10,000 tasks each arrive and are cancelled after a minute, every five minutes.
    Cancellation,
    /// Demand swings by a factor of four every 6 s, and measurements are 1 s late.
    Lag1,
    /// Demand swings by a factor of four every 6 s, and measurements are 10 s late.
    Lag10,
}

impl Scenario {
    /// Returns the factor on demand at a time in seconds.
    pub fn demand_factor(self, seconds: f64) -> f64 {
        match self {
            Self::Peak => trapezoid(seconds % 60.0, 20.0, 3.0),
            Self::Lag1 | Self::Lag10 => trapezoid(seconds % 6.0, 2.0, 0.5),
            _ => 1.0,
        }
    }

    /// Tells whether demand is at its peak.
    pub fn is_peak(self, seconds: f64) -> bool {
        self.demand_factor(seconds) > 3.0
    }

    /// Returns how late measurements are, in seconds.
    pub const fn lag_seconds(self) -> u64 {
        match self {
            Self::Lag1 => 1,
            Self::Lag10 => 10,
            _ => 3,
        }
    }

    /// Returns the factor on the slow-down by a task at a time in seconds.
    pub fn slowdown_factor(self, seconds: f64, is_noisy: bool) -> f64 {
        let is_noisy_minute = self == Self::Noisy && (seconds as u64 / 60) % 3 == 2;
        if is_noisy_minute && is_noisy {
            4.0
        } else {
            1.0
        }
    }

    /// Tells whether a worker is lost at a time in seconds.
    pub fn is_lost(self, worker: usize, seconds: f64) -> bool {
        self == Self::HostLoss && worker < 3 && (700.0..1_300.0).contains(&seconds)
    }

    /// Tells whether a worker fails each task.
    pub fn fails_tasks(self, worker: usize) -> bool {
        self == Self::BadWorker && worker == 4
    }
}

/// Factor of a swing that rises linearly to four, stays and falls.
fn trapezoid(phase: f64, high: f64, ramp: f64) -> f64 {
    let rise = (phase / ramp).min(1.0);
    let fall = ((high + ramp - phase) / ramp).clamp(0.0, 1.0);
    1.0 + 3.0 * rise.min(fall)
}
