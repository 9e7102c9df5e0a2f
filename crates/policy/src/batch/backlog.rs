//! Waiting and running tasks of a cell.

mod admission;
mod ranking;
mod starts;

use std::collections::{BTreeSet, HashMap};

use foldhash::fast::RandomState;
use slotmap::SlotMap;
use smallvec::SmallVec;
use toucanquay_model::{Resources, Section, Time, exchange::TaskUsage, job, task, worker};

use super::{
    Job, Outcome, Settings, Unschedulable, WaitReason,
    fleet::Fleet,
    groups::Groups,
    job_entry::JobEntry,
    long_tasks::LongTasks,
    order::{JobKey, Order},
};

/// Waiting tasks in scheduling order, and running tasks.
///
/// The caller reports every worker with [`add_worker`](Self::add_worker), every waiting task with
/// [`push`](Self::push), every running task that was not started by [`assign`](Self::assign) with
/// [`add_running`](Self::add_running), and the end of every attempt with
/// [`end_attempt`](Self::end_attempt).
///
/// # Examples
///
/// ```
/// use toucanquay_model::{Resources, Time, job::Urgency, worker};
/// use toucanquay_policy::batch::{Backlog, Job, WorkerResources, Settings};
///
/// let capacity = Resources { processors_milli: 4_000, memory_mb: 8_000, accelerators: 0 };
/// let demand = Resources { processors_milli: 3_000, memory_mb: 1_000, accelerators: 0 };
/// let worker = worker::Id::from("w1");
/// let job = Job {
///     id: "plans".into(),
///     team: "desk".to_owned(),
///     kind: "plan".to_owned(),
///     demand,
///     urgency: Urgency::Normal,
///     finish_by: None,
/// };
/// let mut backlog = Backlog::new(Settings::default());
/// backlog.add_worker(&worker, capacity, Time::ZERO);
/// backlog.push(&job, 0..2, Time::ZERO);
///
/// let mut workers = [WorkerResources::new(worker, capacity)];
/// let assignments = backlog.assign(&mut workers, Time::ZERO, 10, |_, _| Some(0.0));
/// assert_eq!(assignments.len(), 1);
/// assert_eq!(workers[0].free.processors_milli, 1_000);
/// ```
#[derive(Debug, Clone)]
pub struct Backlog {
    settings: Settings,
    jobs: SlotMap<JobKey, JobEntry>,
    by_id: HashMap<job::Id, JobKey, RandomState>,
    groups: Groups,
    order: Order,
    /// Jobs whose tasks fit no known worker. They are not part of `order`.
    unschedulable: BTreeSet<JobKey>,
    fleet: Fleet,
    /// Workers kept free for starved jobs, with the job that each is kept for.
    claims: SmallVec<[(JobKey, worker::Id); 4]>,
    long_tasks: LongTasks,
    /// Starts in regular order since the last start of a starved job.
    starts_in_order: u32,
    next_sequence: u64,
    /// Index of the worker at which the next scan begins, so that starts rotate over the workers.
    offset: usize,
    waiting_count: usize,
}

impl Backlog {
    /// Returns an empty backlog.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            jobs: SlotMap::with_key(),
            by_id: HashMap::default(),
            groups: Groups::default(),
            order: Order::default(),
            unschedulable: BTreeSet::new(),
            fleet: Fleet::default(),
            claims: SmallVec::new(),
            long_tasks: LongTasks::default(),
            starts_in_order: 0,
            next_sequence: 0,
            offset: 0,
            waiting_count: 0,
        }
    }

    /// Applies the quota and the per-kind limits of a team's section.
    pub fn configure(&mut self, team: &str, section: &Section, now: Time) {
        self.groups.configure(team, section);
        self.recheck_unschedulable(now);
    }

    /// Adds a worker or updates its capacity.
    pub fn add_worker(&mut self, worker: &worker::Id, capacity: Resources, now: Time) {
        if self.fleet.add(worker, capacity) {
            self.recheck_unschedulable(now);
        }
    }

    /// Removes a worker. Its running tasks stay accounted for until
    /// [`end_attempt`](Self::end_attempt) is called for each of them.
    pub fn remove_worker(&mut self, worker: &worker::Id) {
        self.fleet.remove(worker);
        self.claims.retain(|(_, claimed)| claimed != worker);
    }

    /// Adds waiting tasks of a job. Tasks that already wait or run are left unchanged.
    pub fn push(&mut self, job: &Job, indexes: impl IntoIterator<Item = u32>, now: Time) {
        let key = self.get_or_insert(job, now);
        let entry = &mut self.jobs[key];
        entry.is_removed = false;
        if entry.waiting.is_empty() {
            entry.waiting_since = now;
        }
        for index in indexes {
            if entry.waiting.contains_key(&index) || entry.runs.contains_key(&index) {
                continue;
            }
            let earlier_micros = entry.awaiting_retry.remove(&index).unwrap_or(0);
            entry.waiting.insert(index, earlier_micros);
            self.waiting_count += 1;
        }
        self.update_order(key, now);
    }

    /// Removes a waiting task and returns whether it was waiting.
    ///
    /// This also discards the state kept for a retry, so call it for a task whose attempt ended
    /// and that will not be pushed again, such as one that failed permanently.
    pub fn remove(&mut self, task: &task::Id, now: Time) -> bool {
        let Some(&key) = self.by_id.get(&task.job) else {
            return false;
        };
        let entry = &mut self.jobs[key];
        entry.awaiting_retry.remove(&task.index);
        let is_removed = entry.waiting.remove(&task.index).is_some();
        self.waiting_count -= usize::from(is_removed);
        self.update_order(key, now);
        self.remove_if_done(key);
        is_removed
    }

    /// Removes all waiting tasks of a job and returns their number. Running tasks are kept.
    pub fn remove_job(&mut self, job: &job::Id, now: Time) -> usize {
        let Some(&key) = self.by_id.get(job) else {
            return 0;
        };
        let entry = &mut self.jobs[key];
        let count = entry.waiting.len();
        entry.waiting.clear();
        entry.awaiting_retry.clear();
        entry.is_removed = true;
        self.waiting_count -= count;
        self.update_order(key, now);
        self.remove_if_done(key);
        count
    }

    /// Adds a task that is already running. A new owner learns of such tasks from worker reports
    /// during a takeover.
    pub fn add_running(&mut self, job: &Job, index: u32, reservation: Resources, now: Time) {
        let key = self.get_or_insert(job, now);
        let entry = &mut self.jobs[key];
        if entry.runs.contains_key(&index) {
            return;
        }
        let is_waiting = entry.waiting.remove(&index).is_some();
        self.waiting_count -= usize::from(is_waiting);
        self.record_start(key, index, 0, reservation, now);
        self.update_order(key, now);
    }

    /// Records the end of an attempt and returns its reservation, or `None` if the task was not
    /// running.
    ///
    /// Unless the attempt finished, the caller must either retry the task with
    /// [`push`](Self::push) or discard it with [`remove`](Self::remove) or
    /// [`remove_job`](Self::remove_job).
    pub fn end_attempt(
        &mut self,
        task: &task::Id,
        outcome: Outcome,
        now: Time,
    ) -> Option<Resources> {
        let key = *self.by_id.get(&task.job)?;
        let entry = &mut self.jobs[key];
        let run = entry.runs.remove(&task.index)?;
        let run_micros = now.micros_since(run.started_at);
        let total_micros = run.earlier_micros + run_micros;
        entry.attained_service -= run.charged.min(entry.attained_service);
        if outcome != Outcome::NotStarted {
            entry.attained_service += processor_micros(run_micros, &run.reservation);
        }
        match outcome {
            Outcome::Finished => self.groups.kinds[entry.kind].record_run_time(total_micros),
            _ if entry.is_removed => {}
            Outcome::Stopped => drop(entry.awaiting_retry.insert(task.index, total_micros)),
            Outcome::Failed | Outcome::NotStarted => {
                entry.awaiting_retry.insert(task.index, run.earlier_micros);
            }
        }
        self.record_end(key, task.index, &run);
        self.update_order(key, now);
        self.remove_if_done(key);
        Some(run.reservation)
    }

    /// Updates the usage estimate of a kind with the measured usage of one of its tasks.
    ///
    /// Usage of unknown jobs is ignored. The caller should omit reports for throttled tasks,
    /// since a throttled task uses less than it needs.
    pub fn observe(&mut self, usage: &TaskUsage, now: Time) {
        let Some(&key) = self.by_id.get(&usage.task.job) else {
            return;
        };
        let kind = self.jobs[key].kind;
        let reached_samples_min = self.groups.kinds[kind].observe(usage, &self.settings);
        if reached_samples_min {
            self.recheck_unschedulable(now);
        }
    }

    /// Returns why a task is waiting, or `None` if it is not.
    #[must_use]
    pub fn wait_reason(&self, task: &task::Id) -> Option<WaitReason> {
        let key = *self.by_id.get(&task.job)?;
        let entry = &self.jobs[key];
        let earlier_micros = *entry.waiting.get(&task.index)?;
        if self.fleet.is_empty() {
            return Some(WaitReason::NoWorker);
        }
        let reason = match self.admit(entry, earlier_micros) {
            Ok(reservation) => WaitReason::Capacity { reservation },
            Err(reason) => reason,
        };
        Some(reason)
    }

    /// Returns the jobs whose tasks fit no known worker, with the reason for each.
    pub fn unschedulable(&self) -> impl Iterator<Item = (&job::Id, Unschedulable)> {
        self.unschedulable.iter().filter_map(|key| {
            let entry = &self.jobs[*key];
            let unschedulable = self.reservation(entry).err()?;
            Some((&entry.job.id, unschedulable))
        })
    }

    /// Returns why the tasks of `job` fit no known worker, if so. The job need not be queued.
    #[must_use]
    pub fn unschedulable_reason(&self, job: &Job) -> Option<Unschedulable> {
        let team = self.groups.team(&job.team);
        let kind = team.and_then(|team| self.groups.kind(team, &job.kind));
        self.reservation_for(job, team, kind).err()
    }

    /// Returns the number of waiting tasks.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.waiting_count
    }

    /// Returns whether no task is waiting.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.waiting_count == 0
    }

    /// Returns the total reservation of a team's running tasks.
    #[must_use]
    pub fn reserved(&self, team: &str) -> Resources {
        let team = self.groups.team(team);
        team.map_or(Resources::ZERO, |index| self.groups.teams[index].reserved)
    }

    fn get_or_insert(&mut self, job: &Job, now: Time) -> JobKey {
        if let Some(key) = self.by_id.get(&job.id) {
            return *key;
        }
        let team = self.groups.intern_team(&job.team);
        let kind = self.groups.intern_kind(team, &job.kind);
        let entry = JobEntry::new(job.clone(), team, kind, self.next_sequence, now);
        self.next_sequence += 1;
        let key = self.jobs.insert(entry);
        self.by_id.insert(job.id.clone(), key);
        key
    }

    fn remove_if_done(&mut self, key: JobKey) {
        if !self.jobs[key].is_done() {
            return;
        }
        if let Some(entry) = self.jobs.remove(key) {
            self.by_id.remove(&entry.job.id);
        }
        self.unschedulable.remove(&key);
        self.claims.retain(|(claimant, _)| *claimant != key);
    }
}

/// Returns the processor time reserved by a run, in processor-microseconds.
fn processor_micros(run_micros: u64, reservation: &Resources) -> u64 {
    run_micros.saturating_mul(u64::from(reservation.processors_milli)) / 1_000
}
