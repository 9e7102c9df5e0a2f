//! Data on which the router bases its choice of an upstream.

use toucanquay_model::Time;

use super::Key;

/// Age at which a latency counts for half in the cost, in microseconds.
const LATENCY_HALF_WEIGHT_AGE_MICROS: f64 = 1_000_000.0;

/// Data on which the router bases its choice of an upstream.
///
/// The ready set stores snapshots contiguously, so that a choice reads two small records instead of
/// two complete upstreams.
#[derive(Debug, Clone, Copy)]
pub(super) struct Snapshot {
    pub(super) key: Key,
    /// Requests in flight from all entries, plus one, divided by the usable slots.
    pub(super) load: f64,
    /// Average latency; zero before the first response.
    pub(super) latency_micros: f64,
    /// Expected queueing delay.
    pub(super) queueing_micros: f64,
    /// Time of the last latency sample.
    pub(super) latency_updated_at: Time,
}

impl Snapshot {
    /// Returns the cost of sending one more request: the load times the latency.
    ///
    /// The weight of the latency decays with its age, so that an upstream that was slow is tried
    /// again. `default_latency_micros` is used before the first response; otherwise a new upstream
    /// would be preferred until all its slots were busy.
    pub(super) fn cost(&self, now: Time, default_latency_micros: f64) -> f64 {
        if self.latency_micros == 0.0 {
            return self.load * default_latency_micros;
        }
        let age = now.micros_since(self.latency_updated_at) as f64 / LATENCY_HALF_WEIGHT_AGE_MICROS;
        self.load * self.latency_micros / (1.0 + age)
    }
}
