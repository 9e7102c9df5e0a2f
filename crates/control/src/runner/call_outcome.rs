//! Outcome of a call to the worker.

/// Outcome of a call to the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// It was carried out.
    Done,
    /// The worker had no time for it. It has no effect, and may be repeated.
    Unavailable,
    /// It was refused and never takes effect.
    Refused,
    /// There was no answer; it may have taken effect, or do so later.
    Unknown,
}
