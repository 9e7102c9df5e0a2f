//! Position of a task within its job.

use serde::{Deserialize, Serialize};

/// Occurrence, step and index of a task.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Place {
    /// Occurrence of the job, from 0.
    pub occurrence: u32,
    /// Index of the step, from 0.
    pub step: u16,
    /// Index of the task within the step, from 0.
    pub index: u32,
}
