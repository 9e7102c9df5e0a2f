//! Errors of calls to the task runtime.

use toucanquay_model::Attempt;

/// Reason for which the task runtime rejects a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::runtime) enum CallError {
    /// The task is not listed.
    UnknownTask,
    /// The listed attempt, which is the value, is a different one or has ended.
    Conflict(Attempt),
}
