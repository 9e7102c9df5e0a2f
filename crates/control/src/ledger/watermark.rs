//! Watermarks of removed records.

use toucanquay_model::Time;

/// Watermark of the removed records of one entry incarnation.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Watermark {
    /// Highest request number among them. A request without a record is unknown up to this number.
    pub(super) number: u64,
    /// When the watermark itself may be removed.
    pub(super) expires: Time,
}
