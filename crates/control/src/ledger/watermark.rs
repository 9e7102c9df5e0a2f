//! What is left of forgotten requests.

use toucanquay_model::Time;

/// What is left of the forgotten requests of one entry's run.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Watermark {
    /// Highest number among them. An unknown request up to it may be one of them.
    pub(super) number: u64,
    /// When the horizon itself may be dropped.
    pub(super) expires: Time,
}
