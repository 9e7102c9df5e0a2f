//! Tail latency of a task as a function of its load and the slowdown that its neighbours cause.

/// Latency setpoint as a fraction of the latency target. The margin covers inaccurate reports and
/// load that rises between two reports.
pub const LATENCY_SETPOINT_RATIO: f64 = 0.87;

/// Relation between a task's tail latency, its load and the slowdown that its neighbours cause.
///
/// The task is modelled as a single queue. `floor` is its tail latency at zero load, `load` its
/// utilization without neighbours, and `slowdown` the factor by which its work takes longer beside
/// them. The latency is `floor * slowdown / (1 - load * slowdown)`, so the same neighbours are
/// harmless at a low load and make the latency grow without bound at a high one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LatencyCurve {
    /// Tail latency at zero load and without neighbours, in milliseconds.
    pub floor_ms: f64,
}

impl LatencyCurve {
    /// Returns the load that results in a latency at a slowdown of at least 1.
    #[must_use]
    pub fn load(self, latency_ms: f64, slowdown: f64) -> f64 {
        (1.0 / slowdown - self.floor_ms / latency_ms).max(0.0)
    }

    /// Returns the largest slowdown at which a latency is not exceeded; it may be below 1.
    #[must_use]
    pub fn slowdown_max(self, load: f64, latency_ms: f64) -> f64 {
        1.0 / (load + self.floor_ms / latency_ms)
    }
}
