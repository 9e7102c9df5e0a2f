//! How tasks of one image slow down those of another.

use serde::{Deserialize, Serialize};

/// Learned effect of an image on a sensitive one. Images are named by the owner's keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct InterferenceEffect {
    /// The image whose users wait.
    pub sensitive: u32,
    /// The image that uses idle processors.
    pub other: u32,
    /// What the whole of the worker's processors adds to the factor on the sensitive task's work,
    /// in hundredths.
    pub percent: u16,
    /// Standard deviation of its error, in hundredths.
    pub deviation_percent: u16,
}
