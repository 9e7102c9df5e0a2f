//! Interference between images on one worker.

use serde::{Deserialize, Serialize};

/// Learned slowdown of a latency-sensitive image by another image. Images are identified by the
/// owner's keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct InterferenceEffect {
    /// Latency-sensitive image.
    pub sensitive: u32,
    /// Image that uses idle processors.
    pub other: u32,
    /// Amount added to the slowdown factor of the sensitive task if the other image uses all
    /// processors of the worker, in hundredths.
    pub percent: u16,
    /// Standard deviation of the estimate's error, in hundredths.
    pub deviation_percent: u16,
}
