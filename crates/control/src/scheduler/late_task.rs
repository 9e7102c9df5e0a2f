//! Task that is late.

use super::key::{JobKey, RunKey};

/// Task whose attempt will end long after a new one would.
#[derive(Debug, Clone, Copy)]
pub(super) struct LateTask {
    pub(super) job: JobKey,
    /// Index of the task's stage within the job.
    pub(super) stage: usize,
    /// Index of the task within the stage.
    pub(super) index: u32,
    /// Attempt that a copy would run beside.
    pub(super) run: RunKey,
    /// Time that a new attempt saves, in milliseconds.
    pub(super) saving_ms: u64,
    /// Usual duration of an attempt in milliseconds.
    pub(super) typical_ms: u64,
}
