//! A running attempt in a worker's list.

use toucanquay_model::graph::Task;

/// An attempt that a worker lists as running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedAttempt {
    /// Task within which `attempt` is unique.
    pub task: Task,
    /// Number of the attempt, as in its [`Start`](toucanquay_model::session::Start).
    pub attempt: u64,
    /// Last checkpoint.
    pub checkpoint: Option<String>,
    /// Completed share of its work, in percent; 100 for a perpetual task that serves.
    pub done_percent: u8,
    /// Tail latency in milliseconds for a task that serves, else thousandths of a processor.
    pub gauge: u32,
}
