//! Running tasks.

use toucanquay_model::{Resources, task};

/// A running task.
#[derive(Debug)]
pub struct Run {
    pub id: task::Id,
    pub reservation: Resources,
    pub started_at: u64,
    pub share_percent: u8,
    /// Whether the last change raised the share.
    pub was_raised: bool,
}
