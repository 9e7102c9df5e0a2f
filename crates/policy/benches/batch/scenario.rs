//! Simulated scenarios.

use clap::ValueEnum;

/// Conditions during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// Steady demand.
    Calm,
    /// Four times the demand for 20 s of each minute, with a ramp of 3 s.
    Peak,
    /// In every third minute, half of the tasks of all kinds slow down lookups four times as much.
    Noisy,
    /// Three workers in one rack are lost for ten minutes.
    HostLoss,
    /// One worker fails every task after 1 s.
    BadWorker,
    /// Every five minutes, two jobs with 10,000 tasks each arrive and are cancelled a minute later.
    Cancellation,
    /// Demand varies by a factor of four every 6 s, and reports are 1 s late.
    Lag1,
    /// Demand varies by a factor of four every 6 s, and reports are 10 s late.
    Lag10,
}

impl Scenario {
    /// Returns the ratio of the demand to the base rate at a time in seconds.
    pub fn demand_factor(self, seconds: f64) -> f64 {
        match self {
            Self::Peak => trapezoid(seconds % 60.0, 20.0, 3.0),
            Self::Lag1 | Self::Lag10 => trapezoid(seconds % 6.0, 2.0, 0.5),
            _ => 1.0,
        }
    }

    /// Returns whether the demand is at its peak.
    pub fn is_peak(self, seconds: f64) -> bool {
        self.demand_factor(seconds) > 3.0
    }

    /// Returns the delay of usage reports, in seconds.
    pub const fn lag_seconds(self) -> u64 {
        match self {
            Self::Lag1 => 1,
            Self::Lag10 => 10,
            _ => 3,
        }
    }

    /// Returns the factor on the slowdown caused by a task at a time in seconds.
    pub fn slowdown_factor(self, seconds: f64, is_noisy: bool) -> f64 {
        let is_noisy_minute = self == Self::Noisy && (seconds as u64 / 60) % 3 == 2;
        if is_noisy_minute && is_noisy {
            4.0
        } else {
            1.0
        }
    }

    /// Returns whether a worker is lost at a time in seconds.
    pub fn is_lost(self, worker: usize, seconds: f64) -> bool {
        self == Self::HostLoss && worker < 3 && (700.0..1_300.0).contains(&seconds)
    }

    /// Returns whether a worker fails every task.
    pub fn fails_tasks(self, worker: usize) -> bool {
        self == Self::BadWorker && worker == 4
    }
}

/// Returns a trapezoidal pulse that rises linearly from one to four within `ramp` seconds and falls
/// back in the same way from `high` seconds on.
fn trapezoid(phase: f64, high: f64, ramp: f64) -> f64 {
    let rise = (phase / ramp).min(1.0);
    let fall = ((high + ramp - phase) / ramp).clamp(0.0, 1.0);
    1.0 + 3.0 * rise.min(fall)
}
