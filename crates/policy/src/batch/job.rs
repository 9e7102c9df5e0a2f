//! Job properties used for scheduling.

use toucanquay_model::{Resources, Time, job, job::Urgency};

/// Properties shared by all tasks of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Identifier of the job.
    pub id: job::Id,
    /// Team whose quota the job counts against.
    pub team: String,
    /// Kind of batch work. Usage and run times are estimated per team and kind.
    pub kind: String,
    /// Declared resource demand of one task.
    pub demand: Resources,
    /// Urgency class.
    pub urgency: Urgency,
    /// Deadline for all tasks, on the caller's clock.
    pub finish_by: Option<Time>,
}

impl Job {
    /// Returns the job described by `spec`. The caller converts the wall-clock deadline in `spec`
    /// to `finish_by`.
    #[must_use]
    pub fn new(spec: &job::Spec, finish_by: Option<Time>) -> Self {
        Self {
            id: spec.id.clone(),
            team: spec.team.clone(),
            kind: spec.kind.clone(),
            demand: spec.demand,
            urgency: spec.urgency,
            finish_by,
        }
    }
}
