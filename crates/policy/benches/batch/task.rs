//! Submitted tasks.

use toucanquay_policy::batch::Job;

use crate::kind::Kind;

/// A task that has been submitted and has not finished.
#[derive(Debug)]
pub struct Task {
    pub kind: &'static Kind,
    pub job: Job,
    /// Remaining run time at full speed, in seconds.
    pub remaining_seconds: f64,
    pub submitted_at: u64,
    pub has_started: bool,
    pub is_noisy: bool,
}
