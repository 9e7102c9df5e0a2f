//! Jobs, as the order of the backlog needs them.

use toucanquay_model::{Resources, Time, job, job::Urgency};

/// What the tasks of a job have in common.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Name of the job.
    pub id: job::Id,
    /// Team whose quota the job counts against.
    pub team: String,
    /// Kind of batch work; usage and run times are learned for each kind of a team.
    pub kind: String,
    /// Declared demand of one task.
    pub demand: Resources,
    /// How urgently the tasks start.
    pub urgency: Urgency,
    /// When the tasks should be finished, on the caller's clock.
    pub finish_by: Option<Time>,
}

impl Job {
    /// Returns the job that `spec` describes, with its wall-clock deadline converted by the caller.
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
