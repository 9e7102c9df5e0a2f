//! Intervals in which tasks ran.

use tokio::time::Instant;
use toucanquay_model::{Attempt, task};

/// Interval in which an attempt ran without interruption.
#[derive(Debug, Clone)]
pub struct RunInterval {
    /// Task within which `attempt` is unique.
    pub task: task::Id,
    /// Attempt that ran. It has several intervals if the runtime was paused.
    pub attempt: Attempt,
    /// Start of the interval.
    pub started_at: Instant,
    /// End of the interval, or `None` while the attempt runs.
    pub ended_at: Option<Instant>,
}

impl RunInterval {
    /// Returns whether both intervals belong to the same task and overlap in time.
    #[must_use]
    pub fn overlaps(&self, other: &Self) -> bool {
        self.task == other.task
            && self.starts_before_end_of(other)
            && other.starts_before_end_of(self)
    }

    fn starts_before_end_of(&self, other: &Self) -> bool {
        other
            .ended_at
            .is_none_or(|ended_at| self.started_at < ended_at)
    }
}

/// Returns each pair of overlapping intervals of the same task. The intervals can come from one
/// runtime or from several.
#[must_use]
pub fn find_overlaps(intervals: &[RunInterval]) -> Vec<(RunInterval, RunInterval)> {
    let mut sorted: Vec<&RunInterval> = intervals.iter().collect();
    sorted.sort_by(|a, b| (&a.task, a.started_at).cmp(&(&b.task, b.started_at)));
    let mut found = Vec::new();
    for (index, earlier) in sorted.iter().enumerate() {
        let later = sorted[index + 1..].iter();
        let same_task = later.take_while(|later| later.task == earlier.task);
        for later in same_task.filter(|later| earlier.overlaps(later)) {
            found.push(((*earlier).clone(), (*later).clone()));
        }
    }
    found
}
