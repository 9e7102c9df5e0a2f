//! One task.

use toucanquay_model::Time;

use super::key::{HostKey, RunKey};

/// State of one task.
#[derive(Debug, Clone, Default)]
pub(super) struct Task {
    pub(super) phase: Phase,
    pub(super) failures: u32,
    pub(super) checkpoint: Option<String>,
    pub(super) not_before: Time,
    /// Worker on which the last attempt failed.
    pub(super) avoid: Option<HostKey>,
}

/// Where a task stands.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Phase {
    /// It has no attempt.
    #[default]
    Waiting,
    /// An attempt runs or may run.
    Running(RunKey),
    /// It is done.
    Done,
}
