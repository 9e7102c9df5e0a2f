//! Settings of the interference model.

/// Settings of a [`InterferenceModel`](super::InterferenceModel).
///
/// Slow-downs are natural logarithms of the factor on latency, so they add up over tasks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Predicted slow-down of a service above which no task is placed beside it. It is below
    /// `throttle_above`, so that small changes of the estimates do not throttle placed tasks.
    pub place_below: f64,
    /// Predicted slow-down of a service above which tasks beside it are throttled.
    pub throttle_above: f64,
    /// Predicted slow-down below which a throttled task gets more of its share back.
    pub release_below: f64,
    /// Predicted slow-down above which a task at the lowest share is evicted.
    pub evict_above: f64,
    /// Factor on these limits while the service's load is high or was so recently. Little slow-down
    /// is enough to saturate slots that are nearly all in use.
    pub high_load_factor: f64,
    /// Requests that an upstream handles at once, where the caller has not said otherwise.
    pub slots: u32,
    /// Lowest share that a task is throttled to, in percent.
    pub share_min_percent: u8,
    /// Step between two shares, in percent.
    pub share_step_percent: u8,
    /// Time for which a throttled share is kept at the least, in microseconds.
    pub hold_micros: u64,
    /// Longest time for which a share is kept after repeated throttling, in microseconds.
    pub hold_max_micros: u64,
    /// Time for which a high load of a service is remembered, in microseconds. It should exceed
    /// the period of demand swings.
    pub peak_micros: u64,
    /// Age beyond which reports are ignored and past tasks are forgotten, in microseconds.
    pub lag_max_micros: u64,
    /// Evictions that may follow each other at once.
    pub evictions_burst: u32,
    /// Time after which one more eviction is allowed, in microseconds.
    pub eviction_micros: u64,
    /// Requests in a window below which its latency says too little.
    pub requests_min: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            place_below: 0.4,
            throttle_above: 0.6,
            release_below: 0.3,
            evict_above: 0.9,
            high_load_factor: 0.7,
            slots: 8,
            share_min_percent: 25,
            share_step_percent: 25,
            hold_micros: 30_000_000,
            hold_max_micros: 600_000_000,
            peak_micros: 300_000_000,
            lag_max_micros: 60_000_000,
            evictions_burst: 2,
            eviction_micros: 60_000_000,
            requests_min: 10,
        }
    }
}

impl Settings {
    /// Returns the settings with the limits for a load class.
    pub(super) const fn scaled(mut self, load_class: usize) -> Self {
        if load_class > 0 {
            self.place_below *= self.high_load_factor;
            self.throttle_above *= self.high_load_factor;
            self.release_below *= self.high_load_factor;
            self.evict_above *= self.high_load_factor;
        }
        self
    }
}
