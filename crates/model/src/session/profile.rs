//! What an agent must know of a running task.

use serde::{Deserialize, Serialize};

use crate::Resources;

/// What an attempt occupies, and how it shares its worker with others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// What the attempt occupies.
    pub occupied: Resources,
    /// Processors that it uses if they are idle, in thousandths.
    pub idle_milli: u32,
    /// Bound of the tail latency that its own users see, in milliseconds.
    pub latency_target_ms: Option<u32>,
    /// Effect on the latency of the most disturbed neighbour, in hundredths of its logarithm.
    pub pressure_percent: u16,
    /// It uses only processors that others leave idle, and may be paced.
    pub uses_idle: bool,
}
