//! The two modelled deployments at their current sizes.

use clap::ValueEnum;
use toucanquay_model::Resources;

use crate::kind::Kind;

/// Organisation whose hosts are modelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Deployment {
    /// Dolmaru Stile Works: 11 workers with 32 cores and 125 GB.
    Dolmaru,
    /// Cascade Hearth & Pellet: 11 workers with 16 cores and 62 GB.
    Cascade,
}

impl Deployment {
    /// Current number of workers.
    pub const WORKERS: usize = 11;

    /// Number of requests that a worker handles concurrently.
    pub const SLOTS: usize = 8;

    /// Returns the capacity of a worker for batch tasks. Eight cores and 14 GB are reserved for
    /// lookups.
    pub const fn capacity(self) -> Resources {
        match self {
            Self::Dolmaru => Resources {
                processors_milli: 24_000,
                memory_mb: 111_000,
                accelerators: 0,
            },
            Self::Cascade => Resources {
                processors_milli: 8_000,
                memory_mb: 48_000,
                accelerators: 0,
            },
        }
    }

    /// Returns the round trip between client and entry, in microseconds.
    pub const fn round_trip_micros(self) -> u64 {
        match self {
            Self::Dolmaru => 2_000,
            Self::Cascade => 6_000,
        }
    }

    /// Returns the base rate of lookups per second over all workers, about 0.15 of the capacity of
    /// the slots.
    pub const fn lookups_per_second(self) -> f64 {
        match self {
            Self::Dolmaru => 700.0,
            Self::Cascade => 800.0,
        }
    }

    /// Returns the kinds of batch work. Their declared demands differ widely from their usage on
    /// purpose.
    pub const fn kinds(self) -> &'static [Kind] {
        match self {
            Self::Dolmaru => &Kind::DOLMARU,
            Self::Cascade => &Kind::CASCADE,
        }
    }
}
