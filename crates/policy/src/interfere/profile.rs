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
    slots: u32,
}

impl Profile {
    pub const fn new(slots: u32) -> Self {
        Self {
            base: [BASE_PRIOR; LOADS],
            pairs: Vec::new(),
            slots,
        }
    }

    pub const fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Returns the load class of a window: high when three quarters of the slots were in use.
    pub const fn class(&self, usage: &ServiceUsage) -> usize {
        let is_high = usage.in_flight_max.saturating_mul(4) >= self.slots.saturating_mul(3);
        is_high as usize
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
