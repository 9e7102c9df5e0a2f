//! Running tasks.

use toucanquay_model::{Resources, task};

/// A task that runs.
#[derive(Debug)]
pub struct Run {
    pub id: task::Id,
    pub reservation: Resources,
    pub started_at: u64,
    pub share_percent: u8,
    /// Whether the share has been raised after a cut.
    pub was_raised: bool,
}
