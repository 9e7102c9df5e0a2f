//! Settings of the interference model.

/// Settings of an [`InterferenceModel`](super::InterferenceModel).
///
/// Slowdowns are natural logarithms of the latency factor, so that they add up over tasks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Predicted slowdown of a service above which no task is placed on its worker. It is below
    /// `throttle_above`, so that small changes of the estimates do not throttle placed tasks.
    pub place_below: f64,
    /// Predicted slowdown of a service above which tasks on its worker are throttled.
    pub throttle_above: f64,
    /// Predicted slowdown below which the share of a throttled task is raised again.
    pub release_below: f64,
    /// Predicted slowdown above which a task is evicted when throttling is no longer possible.
    pub evict_above: f64,
    /// Factor on these limits while the load of the service is high or was high recently. When
    /// nearly all slots are in use, a small slowdown is enough to saturate them.
    pub high_load_factor: f64,
    /// Default number of requests that an upstream handles concurrently.
    pub slots: u32,
    /// Minimum share to which a task is throttled, in percent.
    pub share_min_percent: u8,
    /// Granularity of shares, in percent.
    pub share_step_percent: u8,
    /// Minimum time for which a throttled share is kept, in microseconds.
    pub hold_micros: u64,
    /// Maximum of that time, which doubles with repeated throttling, in microseconds.
    pub hold_max_micros: u64,
    /// Time for which a load peak of a service is remembered, in microseconds. It should exceed the
    /// period of demand fluctuations.
    pub peak_micros: u64,
    /// Maximum age of a report, in microseconds. Older ones are ignored. Task history is kept for
    /// twice this time.
    pub lag_max_micros: u64,
    /// Maximum number of evictions in a burst.
    pub eviction_burst: u32,
    /// Interval at which the eviction budget gains one eviction, in microseconds.
    pub eviction_interval_micros: u64,
    /// Minimum number of requests in a window for its latency to be used.
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
            eviction_burst: 2,
            eviction_interval_micros: 60_000_000,
            requests_min: 10,
        }
    }
}

impl Settings {
    /// Returns the settings with the limits scaled for a load class.
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
