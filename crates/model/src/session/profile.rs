//! Resource profile of an attempt.

use serde::{Deserialize, Serialize};

use crate::Resources;

/// Resources that an attempt reserves, and how it shares its worker with other attempts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// Resources that the attempt reserves.
    pub occupied: Resources,
    /// Idle processors that the attempt may use, in thousandths of a processor.
    pub idle_milli: u32,
    /// Upper bound of the tail latency for users of the task, in milliseconds.
    pub latency_target_ms: Option<u32>,
    /// Tail latency without load, in milliseconds; 0 if unknown.
    pub latency_floor_ms: u32,
    /// The owner's key of the image.
    pub image: u32,
    /// Whether the attempt uses only processors that other tasks leave idle, and may be throttled.
    pub uses_idle: bool,
}
