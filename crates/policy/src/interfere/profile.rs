//! What is learned of one service.

use toucanquay_model::exchange::ServiceUsage;

use super::weight::Weight;

/// Load buckets: powers of two of the requests in flight.
const LOADS: usize = 8;

/// Load classes for which the slow-down by a kind is learned apart.
pub(super) const CLASSES: usize = 2;

/// Slow-down that is assumed of a pair that has not been seen, so that known harmless pairs are
/// preferred.
const PAIR_PRIOR: Weight = Weight::new(0.05, 0.05);

/// Latency of an unknown service, as a logarithm of microseconds; the variance says "unknown".
const BASE_PRIOR: Weight = Weight::new(8.0, 25.0);

/// Latency and sensitivity of a service.
#[derive(Debug)]
pub(super) struct Profile {
    base: [Weight; LOADS],
    /// By kind, then by load class.
    pairs: Vec<[Weight; CLASSES]>,
    in_flight_peak: f64,
}

impl Profile {
    pub const fn new() -> Self {
        Self {
            base: [BASE_PRIOR; LOADS],
            pairs: Vec::new(),
            in_flight_peak: 0.0,
        }
    }

    /// Returns the load class of a window and remembers the highest load.
    pub fn class(&mut self, usage: &ServiceUsage) -> usize {
        /// Share of the highest load that remains after each window.
        const PEAK_DECAY: f64 = 0.9999;
        let in_flight = f64::from(usage.in_flight_max);
        self.in_flight_peak = (self.in_flight_peak * PEAK_DECAY).max(in_flight);
        usize::from(in_flight > self.in_flight_peak / 2.0)
    }

    pub fn base(&mut self, usage: &ServiceUsage) -> &mut Weight {
        let load = usage.in_flight_max.max(1).ilog2() as usize;
        &mut self.base[load.min(LOADS - 1)]
    }

    pub fn pair_mut(&mut self, kind: usize, class: usize) -> &mut Weight {
        if self.pairs.len() <= kind {
            self.pairs.resize(kind + 1, [PAIR_PRIOR; CLASSES]);
        }
        &mut self.pairs[kind][class]
    }

    pub fn pair(&self, kind: usize, class: usize) -> Weight {
        self.pairs.get(kind).map_or(PAIR_PRIOR, |pair| pair[class])
    }
}
