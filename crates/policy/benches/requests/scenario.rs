//! Demand, batch load and faults over the time of a run.

use clap::ValueEnum;

/// One second in microseconds.
pub const SECOND: u64 = 1_000_000;

/// Duration of a run.
pub const RUN_MICROS: u64 = 60 * SECOND;

/// Part of a run in which the peak or the fault occurs.
pub const WINDOW: std::ops::Range<u64> = 20 * SECOND..40 * SECOND;

/// Time over which the demand rises to the peak.
const RAMP_MICROS: u64 = 2 * SECOND;

/// Scenario of a run. Demand is given as a share of the capacity, with all slots busy and under
/// regular batch load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// Demand 0.4.
    Calm,
    /// Demand 0.22, times four in the window.
    Peak,
    /// Demand 0.3, times four in the window: more than the capacity.
    Flood,
    /// Demand 0.22, times four in every other period of 3 s.
    Swing,
    /// Demand 0.5; four workers at a time are slowed down by a factor of three for 3 s.
    Wave,
    /// Demand 0.6; a host is dead in the window.
    HostLoss,
    /// Demand 0.5; a worker immediately fails all requests in the window.
    BlackHole,
    /// Peak and wave, reports lag by 1 s.
    Lag1,
    /// Peak and wave, reports lag by 10 s.
    Lag10,
}

impl Scenario {
    /// Demand at `now` as a share of the capacity.
    pub fn demand(self, now: u64) -> f64 {
        match self {
            Self::Calm => 0.4,
            Self::Peak => 0.22 * Self::peak_factor(now),
            Self::Lag1 | Self::Lag10 => 0.18 * Self::peak_factor(now),
            Self::Flood => 0.3 * Self::peak_factor(now),
            Self::Swing if (now / (3 * SECOND)) % 2 == 1 => 0.88,
            Self::Swing => 0.22,
            Self::Wave | Self::BlackHole => 0.5,
            Self::HostLoss => 0.6,
        }
    }

    /// Lag of the companions' reports, in microseconds.
    pub const fn report_lag(self) -> u64 {
        match self {
            Self::Lag1 => SECOND,
            Self::Lag10 => 10 * SECOND,
            _ => 1_000,
        }
    }

    /// Returns whether batch load slows down workers in waves.
    pub const fn has_waves(self) -> bool {
        matches!(self, Self::Wave | Self::Lag1 | Self::Lag10)
    }

    fn peak_factor(now: u64) -> f64 {
        if !WINDOW.contains(&now) {
            return 1.0;
        }
        let ramp_progress = ((now - WINDOW.start) as f64 / RAMP_MICROS as f64).min(1.0);
        1.0 + 3.0 * ramp_progress
    }
}
