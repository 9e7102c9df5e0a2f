//! Tasks that wait for a worker or hold one.

use toucanquay_model::{Resources, Section, Time, job::Spec, task, worker};
use toucanquay_policy::batch::{self, Assignment, Backlog, Ending, Job, Room};

/// Tasks that may run now, in the order of the policy, and the tasks that hold a worker.
///
/// Usage is not reported to the policy, so it reserves at least the declared demand.
#[derive(Debug, Clone)]
pub(super) struct Queue {
    backlog: Backlog,
    /// Latest time that the cell was given; some callers, as an eviction, give none.
    clock: Time,
    /// Wall-clock time at the zero of the process's clock, in milliseconds since the Unix epoch.
    /// Deadlines of jobs count only once it is known.
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
    /// Takes in the time.
    pub(super) fn advance(&mut self, now: Time) {
        self.clock = self.clock.max(now);
    }

    /// Takes in the wall-clock time at `now`, in milliseconds since the Unix epoch.
    pub(super) const fn set_wall_clock(&mut self, unix_ms: u64, now: Time) {
        self.clock_origin_unix_ms = Some(unix_ms.saturating_sub(now.as_millis()));
    }

    /// Applies the limits of a team.
    pub(super) fn configure(&mut self, team: &str, section: &Section) {
        self.backlog.configure(team, section, self.clock);
    }

    /// Adds a worker or changes its capacity.
    pub(super) fn join(&mut self, worker: &worker::Id, capacity: Resources) {
        self.backlog.join(worker, capacity, self.clock);
    }

    /// Removes a worker.
    pub(super) fn leave(&mut self, worker: &worker::Id) {
        self.backlog.leave(worker);
    }

    /// Adds tasks that may run now.
    pub(super) fn push(&mut self, spec: &Spec, indexes: impl IntoIterator<Item = u32>) {
        let job = Job::new(spec, self.finish_by(spec));
        self.backlog.push(&job, indexes, self.clock);
    }

    /// Counts a task that runs already.
    pub(super) fn adopt(&mut self, spec: &Spec, index: u32, demand: Resources) {
        let job = Job::new(spec, self.finish_by(spec));
        self.backlog.adopt(&job, index, demand, self.clock);
    }

    /// Takes in that an attempt has given up what it holds.
    pub(super) fn end(&mut self, task: &task::Id, ending: Ending) {
        self.backlog.end(task, ending, self.clock);
    }

    /// Removes a task that does not wait any more.
    pub(super) fn remove(&mut self, task: &task::Id) {
        self.backlog.remove(task, self.clock);
    }

    /// Removes all waiting tasks of a job.
    pub(super) fn remove_job(&mut self, spec: &Spec) {
        self.backlog.remove_job(&spec.id, self.clock);
    }

    /// Takes out up to `count_max` tasks that start in `rooms`.
    pub(super) fn assign(&mut self, rooms: &mut [Room], count_max: usize) -> Vec<Assignment> {
        self.backlog
            .assign(rooms, self.clock, count_max, |_, _| Some(0.0))
    }

    fn finish_by(&self, spec: &Spec) -> Option<Time> {
        let unix_ms = spec.finish_by_unix_ms?;
        Some(Time::from_millis(
            unix_ms.saturating_sub(self.clock_origin_unix_ms?),
        ))
    }

    /// Returns why no known worker can ever run a task of a job, if that is so.
    pub(super) fn unfit(&self, spec: &Spec) -> Option<String> {
        let unfit = self.backlog.unfit_reason(&Job::new(spec, None))?;
        Some(unfit.to_string())
    }
}
