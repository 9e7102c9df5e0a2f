//! Latency of a task that serves users, as a function of its load and its neighbours.

/// Latency that is aimed at, as a share of its target: reports are rough, and loads rise between two
/// of them.
pub const LATENCY_SETPOINT_RATIO: f64 = 0.87;

/// Relation between a task's tail latency, its load and the factor by which its neighbours slow
/// its work down.
///
/// The task is taken as a single queue: with the work `slowdown` times as slow, a load (the busy
/// share of its time without neighbours) of `load`, and a tail latency of `floor` without any load,
/// the latency is `floor * slowdown / (1 - load * slowdown)`. The same neighbours are harmless at a low
/// load and ruinous at a high one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LatencyCurve {
    /// Tail latency without load and without neighbours, in milliseconds.
    pub floor_ms: f64,
}

impl LatencyCurve {
    /// Returns the load that explains a latency at a factor of at least 1.
    #[must_use]
    pub fn load(self, latency_ms: f64, slowdown: f64) -> f64 {
        (1.0 / slowdown - self.floor_ms / latency_ms).max(0.0)
    }

    /// Returns the largest factor at which a latency is not exceeded; it may be below 1.
    #[must_use]
    pub fn slowdown_max(self, load: f64, latency_ms: f64) -> f64 {
        1.0 / (load + self.floor_ms / latency_ms)
    }
}
