//! What the choice needs to know of a candidate.

use toucanquay_model::Time;

use super::Key;

/// Age at which a latency counts for half, in microseconds.
const LATENCY_HALF_WEIGHT_AGE_MICROS: f64 = 1_000_000.0;

/// What the choice needs to know of a candidate with room.
///
/// Snapshots lie side by side in the ready set, so that a choice among many upstreams reads two
/// short records and not two whole candidates.
#[derive(Debug, Clone, Copy)]
pub(super) struct Snapshot {
    pub(super) key: Key,
    /// Requests in flight of all entries over the slots in use, after one more.
    pub(super) load: f64,
    /// Average latency; zero before the first answer.
    pub(super) latency_micros: f64,
    /// Expected wait behind other requests.
    pub(super) queueing_micros: f64,
    /// When the latency was learned.
    pub(super) latency_updated_at: Time,
}

impl Snapshot {
    /// Returns what one more request costs here: the load times the latency.
    ///
    /// A latency counts for less the older it is, so that a candidate that was slow is tried again.
    /// Before the first answer, `default_latency_micros` stands for the latency; a new candidate would
    /// otherwise be preferred until all its slots are in use.
    pub(super) fn cost(&self, now: Time, default_latency_micros: f64) -> f64 {
        if self.latency_micros == 0.0 {
            return self.load * default_latency_micros;
        }
        let age = now.micros_since(self.latency_updated_at) as f64 / LATENCY_HALF_WEIGHT_AGE_MICROS;
        self.load * self.latency_micros / (1.0 + age)
    }
}
