//! Position of a task within its job.

use serde::{Deserialize, Serialize};

/// Occurrence, step and index of a task.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Place {
    /// Zero-based occurrence of the job.
    pub occurrence: u32,
    /// Zero-based index of the step.
    pub step: u16,
    /// Zero-based index of the task within the step.
    pub index: u32,
}
