//! The two modelled deployments at their current sizes.

use clap::ValueEnum;

/// Topology and request parameters of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Deployment {
    /// Stile desk lookups: 1 ms to clients, 32 processors per worker.
    Dolmaru,
    /// Part lookups: 3 ms to clients, 16 processors per worker.
    Cascade,
}

impl Deployment {
    /// Index of the zone of each worker.
    pub const WORKER_ZONES: [usize; 11] = [0, 1, 2, 0, 1, 2, 0, 1, 2, 0, 1];
    /// Zones. One entry runs in each.
    pub const ZONES: [&str; 3] = ["a", "b", "c"];
    /// Share of the clients that reach each entry.
    pub const CLIENT_SHARES: [f64; 3] = [0.4, 0.3, 0.3];
    /// Number of requests that a worker handles concurrently.
    pub const SLOTS: u32 = 8;
    /// Maximum number of connections to a worker.
    pub const CONNECTIONS: usize = 64;

    /// One-way network latency between a client and an entry, in microseconds.
    pub const fn client_micros(self) -> u64 {
        match self {
            Self::Dolmaru => 1_000,
            Self::Cascade => 3_000,
        }
    }

    /// Median service time on an idle worker, in microseconds.
    pub const fn service_micros(self) -> f64 {
        match self {
            Self::Dolmaru => 6_000.0,
            Self::Cascade => 12_000.0,
        }
    }

    /// Relative slowdown of a request when all slots of a worker are busy. It is larger with fewer
    /// processors, because requests share them more.
    pub const fn contention(self) -> f64 {
        match self {
            Self::Dolmaru => 0.15,
            Self::Cascade => 0.3,
        }
    }

    /// Deadline after arrival at the entry, in microseconds.
    pub const fn deadline_micros(self) -> u64 {
        match self {
            Self::Dolmaru => 100_000,
            Self::Cascade => 200_000,
        }
    }

    /// One-way network latency between an entry and a worker, in microseconds.
    pub const fn network_micros(entry: usize, worker: usize) -> u64 {
        if Self::WORKER_ZONES[worker] == entry {
            100
        } else {
            500
        }
    }
}
