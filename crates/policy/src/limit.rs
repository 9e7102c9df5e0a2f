//! Adaptive limit on the requests in flight at one upstream.

use toucanquay_model::Time;

/// Weight of a new latency in the fast average.
const FAST_WEIGHT: f64 = 0.1;

/// Weight of a new latency in the slow average, which stands for the usual latency.
const SLOW_WEIGHT: f64 = 0.002;

/// Ratio of the fast to the slow average above which the upstream counts as slowed down.
const SLOWDOWN_RATIO: f64 = 2.0;

/// Factor on the limit when the upstream is slowed down.
const DECREASE_FACTOR: f64 = 0.9;

/// Lowest limit as a share of the slots. A slowed-down upstream frees no more slots when it gets
/// less work than this, so a lower limit would only shed.
const LIMIT_SHARE_MIN: f64 = 0.5;

/// Weight of a new report in the average of the load that other entries cause. One report is a
/// sample of a figure that changes within a service time, so only the average of many says much.
const REPORT_WEIGHT: f64 = 0.05;

/// Longest pause before each step above the accepted requests, as a multiple of the latency.
const STEP_LATENCIES_MAX: f64 = 0.5;

/// Shortest pause, in microseconds: the way to a companion in another zone and back.
const STEP_MICROS_MIN: u64 = 1_000;

/// Limit on the requests in flight at one upstream, never above its slots.
///
/// Other entries send to the same upstream. Their load is learned from the companion's refusals,
/// which are fresh and bound what this entry sends, and from the figures that the companion
/// reports, which lag and serve only to compare upstreams.
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
    /// Returns a limit that starts at all `slots`.
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

    /// Returns the slots of the upstream.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the requests that may be in flight at the upstream, counting all entries.
    #[must_use]
    pub fn current(&self) -> u32 {
        (self.limit as u32).clamp(self.slots.min(1), self.slots)
    }

    /// Returns the estimate of requests in flight that other entries sent.
    #[must_use]
    pub const fn others_in_flight(&self) -> f64 {
        self.others_in_flight
    }

    /// Returns how many more requests this entry may send while `own_in_flight` of its requests are in
    /// flight.
    ///
    /// After a refusal that is as many as the companion accepted, and one more after each pause.
    #[must_use]
    pub fn available(&self, own_in_flight: u32, now: Time) -> u32 {
        let steps = now.micros_since(self.refused_at) / self.step_micros;
        let allowed = u64::from(self.accepted).saturating_add(steps);
        allowed
            .min(u64::from(self.current()))
            .saturating_sub(u64::from(own_in_flight)) as u32
    }

    /// Returns the next time after `now` at which the room grows, if a refusal still limits it.
    #[must_use]
    pub fn next_step(&self, now: Time) -> Option<Time> {
        let steps = now.micros_since(self.refused_at) / self.step_micros;
        let is_limited = u64::from(self.accepted) + steps < u64::from(self.slots);
        is_limited.then(|| self.refused_at.plus_micros((steps + 1) * self.step_micros))
    }

    /// Changes the slots; the limit keeps its share of them.
    pub fn resize(&mut self, slots: u32) {
        let share = if self.slots == 0 {
            1.0
        } else {
            self.limit / f64::from(self.slots)
        };
        self.slots = slots;
        self.limit = share * f64::from(slots);
    }

    /// Takes in the companion's count of requests in flight, while `own_in_flight` are of this entry.
    ///
    /// The report is older than `own_in_flight`; the average evens out the difference.
    pub fn record_report(&mut self, in_flight: u32, own_in_flight: u32) {
        let sample = f64::from(in_flight) - f64::from(own_in_flight);
        self.others_in_flight += REPORT_WEIGHT * (sample - self.others_in_flight);
        self.others_in_flight = self.others_in_flight.clamp(0.0, f64::from(self.slots));
    }

    /// Takes in a refusal for lack of slots, while `own_in_flight` other requests are in flight.
    ///
    /// The pause doubles when the refusal hits the first step after the last one.
    pub fn record_refusal(&mut self, own_in_flight: u32, now: Time) {
        let steps = now.micros_since(self.refused_at) / self.step_micros;
        let longest_micros = (self.fast_micros * STEP_LATENCIES_MAX) as u64;
        match steps {
            0 => {}
            1 => self.step_micros = (self.step_micros * 2).min(longest_micros),
            _ => self.step_micros = (self.fast_micros / f64::from(self.slots.max(1))) as u64,
        }
        self.step_micros = self.step_micros.max(STEP_MICROS_MIN);
        self.accepted = own_in_flight;
        self.refused_at = now;
    }

    /// Takes in a whole answer that took `latency_micros`.
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

    /// Lowers the limit at most once for each limit's worth of answers, and raises it by one in
    /// the same span.
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
