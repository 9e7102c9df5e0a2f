//! Learned latency profile of one service.

use toucanquay_model::exchange::ServiceUsage;

use super::coefficient::Coefficient;

/// Number of load buckets. Bucket boundaries are powers of two of the requests in flight.
const LOAD_BUCKETS: usize = 8;

/// Load class of a window in which nearly all slots were in use.
pub(super) const HIGH_LOAD: usize = 1;

/// Prior of the multiplier on the slowdown by all kinds at high load.
const HIGH_LOAD_MULTIPLIER_PRIOR: Coefficient = Coefficient::new(1.3, 0.1);

/// Prior of the slowdown by a kind. The mean times the number of tasks on a worker must stay well
/// below the placement limit, because the effect of a kind that always runs cannot be distinguished
/// from the service's own latency and stays at the prior.
const KIND_EFFECT_PRIOR: Coefficient = Coefficient::new(0.005, 0.05);

/// Prior of the latency of a service, as the natural logarithm of microseconds. The large variance
/// makes it uninformative.
const BASE_LATENCY_PRIOR: Coefficient = Coefficient::new(8.0, 25.0);

/// Learned latency of a service and its sensitivity to each kind of batch task.
#[derive(Debug)]
pub(super) struct Profile {
    base_latency: [Coefficient; LOAD_BUCKETS],
    /// Slowdown by each kind at low load.
    kind_effects: Vec<Coefficient>,
    /// Multiplier on `kind_effects` at high load. It is shared by all kinds, because windows of
    /// high load are too few to learn each kind separately.
    high_load_multiplier: Coefficient,
    slots: u32,
}

impl Profile {
    pub const fn new(slots: u32) -> Self {
        Self {
            base_latency: [BASE_LATENCY_PRIOR; LOAD_BUCKETS],
            kind_effects: Vec::new(),
            high_load_multiplier: HIGH_LOAD_MULTIPLIER_PRIOR,
            slots,
        }
    }

    pub const fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Returns the load class of a window. The load is high when at least three quarters of the
    /// slots were in use.
    pub const fn load_class(&self, usage: &ServiceUsage) -> usize {
        let is_high = usage.in_flight_max.saturating_mul(4) >= self.slots.saturating_mul(3);
        is_high as usize
    }

    /// Returns the base latency for the load bucket of a window.
    pub fn base_latency(&mut self, usage: &ServiceUsage) -> &mut Coefficient {
        let load = usage.in_flight_max.max(1).ilog2() as usize;
        &mut self.base_latency[load.min(LOAD_BUCKETS - 1)]
    }

    pub fn kind_effect_mut(&mut self, kind: usize) -> &mut Coefficient {
        if self.kind_effects.len() <= kind {
            self.kind_effects.resize(kind + 1, KIND_EFFECT_PRIOR);
        }
        &mut self.kind_effects[kind]
    }

    pub fn kind_effect(&self, kind: usize) -> Coefficient {
        self.kind_effects
            .get(kind)
            .copied()
            .unwrap_or(KIND_EFFECT_PRIOR)
    }

    pub const fn high_load_multiplier_mut(&mut self) -> &mut Coefficient {
        &mut self.high_load_multiplier
    }

    /// Returns the multiplier on the slowdown by all tasks in a load class.
    pub const fn load_multiplier(&self, load_class: usize) -> f64 {
        if load_class == HIGH_LOAD {
            self.high_load_multiplier.mean.clamp(1.0, 3.0)
        } else {
            1.0
        }
    }
}
