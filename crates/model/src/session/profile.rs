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
    /// Tail latency without load, in milliseconds; 0 if it is not known.
    pub latency_floor_ms: u32,
    /// The owner's key of the image.
    pub image: u32,
    /// It uses only processors that others leave idle, and may be paced.
    pub uses_idle: bool,
}
