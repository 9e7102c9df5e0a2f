//! Adaptive limit on the requests in flight at one upstream.

use toucanquay_model::Time;

/// Weight of a new latency in the fast average.
const FAST_WEIGHT: f64 = 0.1;

/// Weight of a new latency in the slow average, which stands for the usual latency.
const SLOW_WEIGHT: f64 = 0.002;

/// Ratio of the fast to the slow average above which the upstream counts as slowed down.
const SLOW_DOWN_RATIO: f64 = 2.0;

/// Factor on the limit when the upstream is slowed down.
const DECREASE: f64 = 0.9;

/// Lowest limit as a share of the slots. A slowed-down upstream frees no more slots when it gets
/// less work than this, so a lower limit would only shed.
const FLOOR_SHARE: f64 = 0.5;

/// Weight of a new report in the average of the load that other entries cause.
const REPORT_WEIGHT: f64 = 0.5;

/// Shortest and longest pause after a refusal, in microseconds.
const PAUSE_MICROS: std::ops::RangeInclusive<u64> = 1_000..=64_000;

/// Limit on the requests in flight at one upstream, never above its slots.
///
/// The limit counts the load of all entries. The load that others cause is learned from the
/// figures that the companion reports, which lag, and from its refusals, which do not.
///
/// # Examples
///
/// ```
/// use toucanquay_model::Time;
/// use toucanquay_policy::limit::Limit;
///
/// let mut limit = Limit::new(8);
/// assert_eq!(limit.room(3, Time::ZERO), 5);
/// limit.refused(3, Time::ZERO);
/// assert_eq!(limit.room(3, Time::ZERO), 0);
/// ```
#[derive(Debug, Clone)]
pub struct Limit {
    slots: u32,
    limit: f64,
    others: f64,
    fast_micros: f64,
    slow_micros: f64,
    samples_since_change: u32,
    pause_micros: u64,
    paused_until: Time,
}

impl Limit {
    /// Returns a limit that starts at all `slots`.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            limit: f64::from(slots),
            others: 0.0,
            fast_micros: 0.0,
            slow_micros: 0.0,
            samples_since_change: 0,
            pause_micros: *PAUSE_MICROS.start(),
            paused_until: Time::ZERO,
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
    pub const fn others(&self) -> f64 {
        self.others
    }

    /// Returns the time before which nothing is sent, after a refusal.
    #[must_use]
    pub const fn paused_until(&self) -> Time {
        self.paused_until
    }

    /// Returns how many more requests this entry may send while `own` of its requests are in
    /// flight.
    ///
    /// One request is always allowed outside a pause, since an entry that sends nothing cannot
    /// learn that its estimate of the load of others is too high.
    #[must_use]
    pub fn room(&self, own: u32, now: Time) -> u32 {
        if now < self.paused_until {
            return 0;
        }
        let current = self.current();
        let others = (self.others.round() as u32).min(current.saturating_sub(1));
        (current - others).saturating_sub(own)
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

    /// Takes in the companion's count of requests in flight, while `own` are of this entry.
    ///
    /// The report is older than `own`; the average evens out the difference.
    pub fn report(&mut self, in_flight: u32, own: u32) {
        let others = f64::from(in_flight) - f64::from(own);
        self.others += REPORT_WEIGHT * (others - self.others);
        self.others = self.others.clamp(0.0, f64::from(self.slots));
    }

    /// Takes in a refusal for lack of slots, while `own` other requests are in flight.
    ///
    /// The slots that this entry does not use must be in use by others. Nothing is sent for a
    /// pause that doubles with each refusal in a row.
    pub fn refused(&mut self, own: u32, now: Time) {
        let others = f64::from(self.slots.saturating_sub(own));
        self.others = self.others.max(others);
        self.paused_until = self.paused_until.max(now.plus_micros(self.pause_micros));
        self.pause_micros = (self.pause_micros * 2).min(*PAUSE_MICROS.end());
    }

    /// Takes in a whole answer that took `latency_micros`, while `own` requests are in flight.
    pub fn answered(&mut self, own: u32, latency_micros: f64) {
        self.pause_micros = *PAUSE_MICROS.start();
        self.learn_latency(latency_micros);
        let current = f64::from(self.current().max(1));
        if f64::from(own) + self.others + 1.0 >= current {
            // Probes for slots that others have released since the last report or refusal.
            self.others = (self.others - 1.0 / current).max(0.0);
        }
        self.adapt(current);
    }

    fn learn_latency(&mut self, micros: f64) {
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
        if self.fast_micros <= SLOW_DOWN_RATIO * self.slow_micros {
            self.limit = (self.limit + 1.0 / current).min(slots);
        } else if f64::from(self.samples_since_change) >= current {
            self.limit = (self.limit * DECREASE).max(slots * FLOOR_SHARE);
            self.samples_since_change = 0;
        }
    }
}
