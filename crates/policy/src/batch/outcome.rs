//! Outcomes of attempts.

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It completed. Its run time is recorded for its kind.
    Finished,
    /// It was stopped early by an eviction, a cancellation or the loss of its worker.
    Stopped,
    /// The task itself returned an error.
    Failed,
    /// It never started. No run time is recorded and no service is charged to the job.
    NotStarted,
}
