//! Durable record of a task that was evicted or has failed.

use serde::{Deserialize, Serialize};
use toucanquay_model::Attempt;

/// The last recorded attempt, the failures and the newest checkpoint of a task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Record {
    /// The last attempt whose end was recorded.
    pub(super) attempt: Attempt,
    /// Number of failures of the task.
    pub(super) failures: u8,
    /// Checkpoint to resume from, if any.
    pub(super) checkpoint: Option<String>,
}
