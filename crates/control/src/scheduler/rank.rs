//! Order in which waiting jobs are placed.

use toucanquay_model::graph::Queue;

use super::Job;

/// Multiple of a job's objective after which its completion has no value any more.
const LATE_FACTOR: f64 = 3.0;

/// Sort key of a waiting job; the job with the lowest rank is placed first.
///
/// The order matters at peaks, when not all jobs can meet their objectives. Jobs that can still
/// meet theirs come first, then jobs that are late but whose completion still has value, then the
/// rest. Within each class, jobs are ordered by priority and then by the time at which they should
/// end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    lateness: u8,
    priority: u32,
    objective_unix_ms: u64,
}

impl Rank {
    pub(super) fn new(job: &Job, queue: &Queue, unix_ms: u64) -> Self {
        let objective_ms = job_objective_ms(job.critical_path_ms, queue);
        let elapsed_ms = unix_ms.saturating_sub(job.accepted_unix_ms);
        let is_past = |factor: f64| elapsed_ms as f64 > objective_ms * factor;
        let lateness = if job.is_perpetual {
            0
        } else if is_past(LATE_FACTOR) {
            2
        } else {
            u8::from(is_past(1.0))
        };
        Self {
            lateness,
            priority: queue.priority,
            objective_unix_ms: job.accepted_unix_ms.saturating_add(objective_ms as u64),
        }
    }
}

fn job_objective_ms(critical_path_ms: u64, queue: &Queue) -> f64 {
    critical_path_ms as f64 * queue.stretch.max(1.0) + queue.slack_ms as f64
}
