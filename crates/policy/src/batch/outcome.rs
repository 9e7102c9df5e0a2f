//! Ways in which an attempt ends.

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It ran to its end; its run time is learned.
    Finished,
    /// It was stopped before its end, by an eviction, a cancellation or the loss of its worker.
    Stopped,
    /// It ended with an error of its own.
    Failed,
    /// It never started; nothing is learned and nothing is charged to its job.
    NotStarted,
}
