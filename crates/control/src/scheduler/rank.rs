//! Order in which waiting jobs are placed.

use toucanquay_model::graph::Queue;

use super::Job;

/// Multiple of a job's objective after which its completion has no value any more.
const LATE_FACTOR: f64 = 3.0;

/// Time that an unstarted job must have until its objective, as a multiple of its critical path.
/// The part above 1 covers estimates that are too low and tasks that wait between steps.
const START_MARGIN: f64 = 1.25;

/// Time that a started job must have until its objective, as a multiple of its remaining critical
/// path. Estimates are too rough to give up a job earlier.
const CONTINUE_MARGIN: f64 = 0.6;

/// Sort key of a waiting job; the job with the lowest rank is placed first.
///
/// The order matters at peaks, when not all jobs can meet their objectives. If jobs were ordered by
/// their objectives alone, each one would start when it has hardly any time left, and all of them
/// would be late. Therefore jobs that can still meet their objective come first, then those whose
/// late completion still has value, then the rest. In each class, jobs are ordered by priority.
/// Started jobs come before others of the same priority, so that no step waits behind a job that
/// has yet to begin.
///
/// Jobs that use idle processors compete for room that changes within seconds. If all of them got a
/// part of it, all would end late together, so the one with the smallest share of its work left comes
/// first. A share, unlike an amount, puts no size of job behind the others. Of all other jobs, and
/// of jobs with the same share left, the one with the earliest objective comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    lateness: Lateness,
    priority: u32,
    is_unstarted: bool,
    remaining_work_permille: u32,
    objective_unix_ms: u64,
}

/// What the completion of a job is still worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Lateness {
    /// The job can meet its objective.
    OnTime,
    /// The job will be late but its completion has some value.
    Late,
    /// The completion of the job has no value any more.
    TooLate,
}

impl Rank {
    pub(super) fn new(job: &Job, queue: &Queue, unix_ms: u64) -> Self {
        let critical_path_ms = job.critical_path_ms as f64;
        let objective_ms = job.objective_ms(queue);
        let elapsed_ms = unix_ms.saturating_sub(job.accepted_unix_ms) as f64;
        let needed_ms = if job.is_started {
            job.remaining_path_ms as f64 * CONTINUE_MARGIN
        } else {
            critical_path_ms * START_MARGIN
        };
        let lateness = if job.is_perpetual || elapsed_ms + needed_ms <= objective_ms {
            Lateness::OnTime
        } else if elapsed_ms <= objective_ms * LATE_FACTOR {
            Lateness::Late
        } else {
            Lateness::TooLate
        };
        Self {
            lateness,
            priority: queue.priority,
            is_unstarted: !job.is_started,
            remaining_work_permille: if job.spec.uses_idle() {
                job.remaining_work_permille
            } else {
                0
            },
            objective_unix_ms: job.accepted_unix_ms.saturating_add(objective_ms as u64),
        }
    }
}
