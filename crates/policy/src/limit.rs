//! Adaptive concurrency limit of one upstream.

use toucanquay_model::Time;

/// Smoothing factor of the fast moving average of latency.
const FAST_WEIGHT: f64 = 0.1;

/// Smoothing factor of the slow moving average, which represents the usual latency.
const SLOW_WEIGHT: f64 = 0.002;

/// Ratio of the fast to the slow average above which the upstream counts as slow.
const SLOWDOWN_RATIO: f64 = 2.0;

/// Factor by which the limit is decreased when the upstream is slow.
const DECREASE_FACTOR: f64 = 0.9;

/// Minimum limit as a share of the slots. Below it, a slow upstream frees no more slots, so a lower
/// limit would only shed requests.
const LIMIT_SHARE_MIN: f64 = 0.5;

/// Smoothing factor of the load of other entries. The load changes within a service time, so a
/// single report says little and only the average of many is meaningful.
const REPORT_WEIGHT: f64 = 0.05;

/// Maximum interval between steps, as a multiple of the latency. After a refusal, this entry may
/// have as many requests in flight as the companion accepted, plus one for each step.
const STEP_LATENCIES_MAX: f64 = 0.5;

/// Minimum interval between steps, in microseconds: the round trip to a companion in another zone.
const STEP_MICROS_MIN: u64 = 1_000;

/// Limit on the requests in flight at one upstream. It never exceeds the upstream's slots.
///
/// Other entries send requests to the same upstream. Their load is inferred from two sources. The
/// companion's refusals are current and bound what this entry sends. The counts that the companion
/// reports lag behind and are only used to compare upstreams.
///
/// # Examples
///
/// ```
/// use toucanquay_model::Time;
/// use toucanquay_policy::limit::Limit;
///
/// let mut limit = Limit::new(8);
/// assert_eq!(limit.available(3, Time::ZERO), 5);
/// limit.record_refusal(3, Time::ZERO);
/// assert_eq!(limit.available(3, Time::ZERO), 0);
/// ```
#[derive(Debug, Clone)]
pub struct Limit {
    slots: u32,
    limit: f64,
    others_in_flight: f64,
    fast_micros: f64,
    slow_micros: f64,
    samples_since_change: u32,
    accepted: u32,
    refused_at: Time,
    step_micros: u64,
}

impl Limit {
    /// Creates a limit that starts at `slots`.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            limit: f64::from(slots),
            others_in_flight: 0.0,
            fast_micros: 0.0,
            slow_micros: 0.0,
            samples_since_change: 0,
            accepted: slots,
            refused_at: Time::ZERO,
            step_micros: STEP_MICROS_MIN,
        }
    }

    /// Returns the number of slots of the upstream.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the maximum number of requests in flight at the upstream, over all entries.
    #[must_use]
    pub fn current(&self) -> u32 {
        (self.limit as u32).clamp(self.slots.min(1), self.slots)
    }

    /// Returns the estimated number of requests in flight from other entries.
    #[must_use]
    pub const fn others_in_flight(&self) -> f64 {
        self.others_in_flight
    }

    /// Returns the number of additional requests that this entry may send while `own_in_flight` of
    /// its requests are in flight.
    ///
    /// After a refusal, the total is the number that the companion accepted, and grows by one after
    /// each step interval.
    #[must_use]
    pub fn available(&self, own_in_flight: u32, now: Time) -> u32 {
        let steps = now.micros_since(self.refused_at) / self.step_micros;
        let allowed = u64::from(self.accepted).saturating_add(steps);
        allowed
            .min(u64::from(self.current()))
            .saturating_sub(u64::from(own_in_flight)) as u32
    }

    /// Returns the next time after `now` at which more requests are allowed, if a refusal still
    /// limits them.
    #[must_use]
    pub fn next_step(&self, now: Time) -> Option<Time> {
        let steps = now.micros_since(self.refused_at) / self.step_micros;
        let is_limited = u64::from(self.accepted) + steps < u64::from(self.slots);
        is_limited.then(|| self.refused_at.plus_micros((steps + 1) * self.step_micros))
    }

    /// Changes the number of slots. The limit is scaled in proportion.
    pub fn resize(&mut self, slots: u32) {
        let share = if self.slots == 0 {
            1.0
        } else {
            self.limit / f64::from(self.slots)
        };
        self.slots = slots;
        self.limit = share * f64::from(slots);
    }

    /// Records the number of requests in flight that the companion reported, while `own_in_flight`
    /// requests of this entry are in flight.
    ///
    /// The report is older than `own_in_flight`; averaging smooths out the difference.
    pub fn record_report(&mut self, in_flight: u32, own_in_flight: u32) {
        let sample = f64::from(in_flight) - f64::from(own_in_flight);
        self.others_in_flight += REPORT_WEIGHT * (sample - self.others_in_flight);
        self.others_in_flight = self.others_in_flight.clamp(0.0, f64::from(self.slots));
    }

    /// Records a refusal for lack of slots, while `own_in_flight` other requests of this entry are
    /// in flight.
    ///
    /// The step interval doubles when the first step after the last refusal is refused.
    pub fn record_refusal(&mut self, own_in_flight: u32, now: Time) {
        let steps = now.micros_since(self.refused_at) / self.step_micros;
        let step_micros_max = (self.fast_micros * STEP_LATENCIES_MAX) as u64;
        match steps {
            0 => {}
            1 => self.step_micros = (self.step_micros * 2).min(step_micros_max),
            _ => self.step_micros = (self.fast_micros / f64::from(self.slots.max(1))) as u64,
        }
        self.step_micros = self.step_micros.max(STEP_MICROS_MIN);
        self.accepted = own_in_flight;
        self.refused_at = now;
    }

    /// Records a complete response that took `latency_micros`.
    pub fn record_response(&mut self, latency_micros: f64) {
        self.record_latency(latency_micros);
        self.adapt(f64::from(self.current().max(1)));
    }

    fn record_latency(&mut self, micros: f64) {
        if self.slow_micros == 0.0 {
            self.fast_micros = micros;
            self.slow_micros = micros;
        }
        self.fast_micros += FAST_WEIGHT * (micros - self.fast_micros);
        self.slow_micros += SLOW_WEIGHT * (micros - self.slow_micros);
        self.samples_since_change += 1;
    }

    /// Decreases the limit at most once per `current` responses, or increases it by one over the
    /// same number of responses.
    fn adapt(&mut self, current: f64) {
        let slots = f64::from(self.slots);
        if self.fast_micros <= SLOWDOWN_RATIO * self.slow_micros {
            self.limit = (self.limit + 1.0 / current).min(slots);
        } else if f64::from(self.samples_since_change) >= current {
            self.limit = (self.limit * DECREASE_FACTOR).max(slots * LIMIT_SHARE_MIN);
            self.samples_since_change = 0;
        }
    }
}
