//! What is learned of one service.

use toucanquay_model::exchange::ServiceUsage;

use super::weight::Weight;

/// Load buckets: powers of two of the requests in flight.
const LOADS: usize = 8;

/// Load class of a window in which the slots are nearly all in use.
pub(super) const HIGH: usize = 1;

/// Factor on the slow-down by all kinds at high load, before anything is known of it.
const HIGH_PRIOR: Weight = Weight::new(1.3, 0.1);

/// Slow-down that is assumed of a pair that has not been seen. The mean times the tasks of a worker
/// must stay well below the placement limit, because kinds that always run cannot be told apart
/// from the service's own latency and keep it.
const PAIR_PRIOR: Weight = Weight::new(0.005, 0.05);

/// Latency of an unknown service, as a logarithm of microseconds; the variance says "unknown".
const BASE_PRIOR: Weight = Weight::new(8.0, 25.0);

/// Latency and sensitivity of a service.
#[derive(Debug)]
pub(super) struct Profile {
    base: [Weight; LOADS],
    /// By kind, for low load.
    pairs: Vec<Weight>,
    /// Factor on them at high load. It is one for all kinds, because windows of high load are too
    /// few to learn each pair apart.
    high: Weight,
    slots: u32,
}

impl Profile {
    pub const fn new(slots: u32) -> Self {
        Self {
            base: [BASE_PRIOR; LOADS],
            pairs: Vec::new(),
            high: HIGH_PRIOR,
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

    pub fn pair_mut(&mut self, kind: usize) -> &mut Weight {
        if self.pairs.len() <= kind {
            self.pairs.resize(kind + 1, PAIR_PRIOR);
        }
        &mut self.pairs[kind]
    }

    pub fn pair(&self, kind: usize) -> Weight {
        self.pairs.get(kind).copied().unwrap_or(PAIR_PRIOR)
    }

    pub const fn high_mut(&mut self) -> &mut Weight {
        &mut self.high
    }

    /// Returns the factor on the slow-down by all tasks in a load class.
    pub const fn factor(&self, class: usize) -> f64 {
        if class == HIGH {
            self.high.mean.clamp(1.0, 3.0)
        } else {
            1.0
        }
    }
}
