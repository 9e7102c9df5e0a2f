//! Lookup service on one worker.

use rand::Rng;
use toucanquay_model::exchange::ServiceUsage;

use crate::{deployment::Deployment, random};

/// Name of the service.
pub const SERVICE: &str = "lookup";

/// Median time of a lookup on an idle worker, in microseconds.
const MEDIAN_MICROS: f64 = 12_000.0;

/// Standard deviation of the logarithm of that time.
const LOG_SIGMA: f64 = 0.5;

/// Slots of one worker and the lookups of the current window.
#[derive(Debug)]
pub struct Lookups {
    /// Time at which each slot becomes free, in microseconds.
    free_at: [u64; Deployment::SLOTS],
    /// Latencies of the lookups in the current window, without the wait for a slot.
    window: Vec<u32>,
    in_flight_max: u32,
}

impl Lookups {
    pub const fn new() -> Self {
        Self {
            free_at: [0; Deployment::SLOTS],
            window: Vec::new(),
            in_flight_max: 0,
        }
    }

    /// Returns the number of slots in use.
    pub fn slots_in_use(&self, now: u64) -> usize {
        self.free_at
            .iter()
            .filter(|free_at| **free_at > now)
            .count()
    }

    /// Returns how long a request that arrives at `now` waits for a slot, in microseconds.
    pub fn wait(&self, now: u64) -> u64 {
        let first = self.free_at.iter().min().copied().unwrap_or(now);
        first.saturating_sub(now)
    }

    /// Handles one request and returns its latency in microseconds. `slowdown` is the logarithm
    /// of the factor by which batch tasks slow it down at medium load.
    pub fn handle(&mut self, now: u64, slowdown: f64, rng: &mut impl Rng) -> u64 {
        let start = now + self.wait(now);
        let load = self.slots_in_use(now) as f64 / Deployment::SLOTS as f64;
        // Interference grows with load, because caches and memory channels are shared.
        let factor = (slowdown * (0.6 + 0.8 * load)).exp();
        let micros = random::log_normal(rng, MEDIAN_MICROS, LOG_SIGMA) * factor;
        let slot = (0..Deployment::SLOTS).min_by_key(|slot| self.free_at[*slot]);
        self.free_at[slot.unwrap_or(0)] = start + micros as u64;
        self.window.push(micros as u32);
        self.in_flight_max = self.in_flight_max.max(self.slots_in_use(now) as u32);
        start + micros as u64 - now
    }

    /// Ends the window and returns its report.
    pub fn report(&mut self, window_micros: u64, age_micros: u64) -> ServiceUsage {
        self.window.sort_unstable();
        let quantile = |share: f64| {
            let index = (self.window.len() as f64 * share) as usize;
            let last = self.window.len().saturating_sub(1);
            self.window.get(index.min(last)).copied().unwrap_or(0)
        };
        let usage = ServiceUsage {
            service: SERVICE.to_owned(),
            age_micros,
            window_micros,
            requests: self.window.len() as u32,
            p50_micros: quantile(0.5),
            p99_micros: quantile(0.99),
            in_flight_max: self.in_flight_max,
        };
        self.window.clear();
        self.in_flight_max = 0;
        usage
    }
}
