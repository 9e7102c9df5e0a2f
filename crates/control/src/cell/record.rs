//! What is durable of a task that was evicted or has failed.

use serde::{Deserialize, Serialize};
use toucanquay_model::Attempt;

/// The newest checkpoint and the failures of one task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Record {
    /// The last attempt whose end was recorded.
    pub(super) attempt: Attempt,
    /// How often the task has failed.
    pub(super) failures: u8,
    /// Checkpoint to resume from, if there is one.
    pub(super) checkpoint: Option<String>,
}
