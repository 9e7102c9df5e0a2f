//! Queue of the tasks that wait for a worker, on top of the scheduling policy.

use toucanquay_model::{Resources, Section, Time, job::Spec, task, worker};
use toucanquay_policy::batch::{self, Assignment, Backlog, Job, Outcome, WorkerResources};

/// Tasks that may run now, in the order of the policy, and the tasks that hold a worker's
/// resources.
///
/// The measured usage is not passed to the policy, so it reserves at least the declared demand.
#[derive(Debug, Clone)]
pub(super) struct Queue {
    backlog: Backlog,
    /// Latest time that the cell was given. It serves calls that carry no time, such as an
    /// eviction.
    clock: Time,
    /// Wall-clock time at the origin of the process's clock, in milliseconds since the Unix epoch.
    /// Deadlines of jobs are ignored until it is known.
    clock_origin_unix_ms: Option<u64>,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            backlog: Backlog::new(batch::Settings::default()),
            clock: Time::ZERO,
            clock_origin_unix_ms: None,
        }
    }
}

impl Queue {
    /// Advances the clock.
    pub(super) fn advance(&mut self, now: Time) {
        self.clock = self.clock.max(now);
    }

    /// Sets the wall-clock time at `now`, in milliseconds since the Unix epoch.
    pub(super) const fn set_wall_clock(&mut self, unix_ms: u64, now: Time) {
        self.clock_origin_unix_ms = Some(unix_ms.saturating_sub(now.as_millis()));
    }

    /// Applies the limits in a team's section.
    pub(super) fn configure(&mut self, team: &str, section: &Section) {
        self.backlog.configure(team, section, self.clock);
    }

    /// Adds a worker or updates its capacity.
    pub(super) fn add_worker(&mut self, worker: &worker::Id, capacity: Resources) {
        self.backlog.add_worker(worker, capacity, self.clock);
    }

    /// Removes a worker.
    pub(super) fn remove_worker(&mut self, worker: &worker::Id) {
        self.backlog.remove_worker(worker);
    }

    /// Adds tasks that may run now.
    pub(super) fn push(&mut self, spec: &Spec, indexes: impl IntoIterator<Item = u32>) {
        let job = Job::new(spec, self.finish_by(spec));
        self.backlog.push(&job, indexes, self.clock);
    }

    /// Adds a task that is already running.
    pub(super) fn adopt(&mut self, spec: &Spec, index: u32, demand: Resources) {
        let job = Job::new(spec, self.finish_by(spec));
        self.backlog.add_running(&job, index, demand, self.clock);
    }

    /// Releases the resources of an attempt that has ended.
    pub(super) fn end_attempt(&mut self, task: &task::Id, outcome: Outcome) {
        self.backlog.end_attempt(task, outcome, self.clock);
    }

    /// Removes a task that no longer waits.
    pub(super) fn remove(&mut self, task: &task::Id) {
        self.backlog.remove(task, self.clock);
    }

    /// Removes all waiting tasks of a job.
    pub(super) fn remove_job(&mut self, spec: &Spec) {
        self.backlog.remove_job(&spec.id, self.clock);
    }

    /// Removes up to `assignments_max` tasks, subtracts their reservations from the free resources
    /// of `workers` and returns the assignments.
    pub(super) fn assign(
        &mut self,
        workers: &mut [WorkerResources],
        assignments_max: usize,
    ) -> Vec<Assignment> {
        self.backlog
            .assign(workers, self.clock, assignments_max, |_, _| Some(0.0))
    }

    /// Returns the job's deadline on the process's clock.
    fn finish_by(&self, spec: &Spec) -> Option<Time> {
        let unix_ms = spec.finish_by_unix_ms?;
        Some(Time::from_millis(
            unix_ms.saturating_sub(self.clock_origin_unix_ms?),
        ))
    }

    /// Returns the reason why no known worker can ever run a task of the job, if there is one.
    pub(super) fn unschedulable_reason(&self, spec: &Spec) -> Option<String> {
        let reason = self.backlog.unschedulable_reason(&Job::new(spec, None))?;
        Some(reason.to_string())
    }
}
