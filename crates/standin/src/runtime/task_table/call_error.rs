//! Refusals of calls.

use toucanquay_model::Attempt;

/// Why the runtime refuses a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::runtime) enum CallError {
    /// The task is not listed.
    UnknownTask,
    /// Another attempt is listed, or this one has ended.
    Conflict(Attempt),
}
