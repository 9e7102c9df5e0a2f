//! Waiting and running tasks of a cell.

use std::collections::{BTreeSet, HashMap};

use foldhash::fast::RandomState;
use slotmap::SlotMap;
use smallvec::SmallVec;
use toucanquay_model::{
    Resources, Section, Time, exchange::TaskUsage, job, job::Urgency, task, worker,
};

use super::{
    Assignment, Job, Outcome, Settings, Unschedulable, WaitReason, WorkerResources,
    fleet::Fleet,
    groups::Groups,
    job_entry::JobEntry,
    long_tasks::LongTasks,
    order::{Cursor, JobKey, Order, OrderKey},
    round::Round,
    run::Run,
};

/// Number of workers per permitted claim by a starved job. It bounds the share of the cell that
/// claims can leave idle.
const WORKERS_PER_CLAIM: usize = 16;

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

    /// Starts up to `max_assignments` waiting tasks in scheduling order and subtracts their
    /// reservations from `workers`.
    ///
    /// `cost` returns the cost of running a task of a kind on a worker, on the scale of
    /// [`placement_cost`](crate::interfere::InterferenceModel::placement_cost), or `None` if no
    /// task may start there.
    pub fn assign(
        &mut self,
        workers: &mut [WorkerResources],
        now: Time,
        max_assignments: usize,
        cost: impl Fn(&WorkerResources, &str) -> Option<f64>,
    ) -> Vec<Assignment> {
        self.mark_long_tasks(now);
        let candidates = self.settings.candidates;
        let mut round = Round::new(workers, &self.claims, candidates, self.offset, cost);
        let mut cursor = Cursor::default();
        let mut assignments = Vec::new();
        let mut same_job = None;
        while assignments.len() < max_assignments {
            if let Some(key) = self.next_starved(&mut cursor, now) {
                self.start(key, 1, &mut round, now, &mut assignments);
                continue;
            }
            let next = same_job.or_else(|| self.order.next_ranked(&mut cursor, now));
            let Some(key) = next else {
                break;
            };
            let level = self.level(key);
            let count = (max_assignments - assignments.len()).min(self.starts_before_starved());
            let has_more_waiting = self.start(key, count, &mut round, now, &mut assignments);
            // Starting tasks can demote the job; it then waits for its turn in the lower level.
            same_job = (has_more_waiting && self.level(key) == level).then_some(key);
        }
        self.offset = round.offset();
        assignments
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

    fn level(&self, key: JobKey) -> Option<usize> {
        self.jobs[key].order_key.map(|order_key| order_key.level)
    }

    /// Starts up to `count` tasks of a job. Returns whether all of them started and more are
    /// waiting.
    fn start<Cost: Fn(&WorkerResources, &str) -> Option<f64>>(
        &mut self,
        key: JobKey,
        count: usize,
        round: &mut Round<'_, Cost>,
        now: Time,
        assignments: &mut Vec<Assignment>,
    ) -> bool {
        for _ in 0..count {
            let Some(assignment) = self.start_one(key, round, now) else {
                return false;
            };
            assignments.push(assignment);
        }
        !self.jobs[key].waiting.is_empty()
    }

    fn start_one<Cost: Fn(&WorkerResources, &str) -> Option<f64>>(
        &mut self,
        key: JobKey,
        round: &mut Round<'_, Cost>,
        now: Time,
    ) -> Option<Assignment> {
        let entry = &self.jobs[key];
        let (&index, &earlier_micros) = entry.waiting.first_key_value()?;
        let reservation = match self.admit(entry, earlier_micros) {
            Ok(reservation) => reservation,
            Err(reason) => {
                self.exclude_if_unschedulable(key, &reason);
                return None;
            }
        };
        let is_overdue = entry.job.finish_by.is_some_and(|deadline| deadline <= now);
        if is_overdue
            && entry
                .order_key
                .is_some_and(|order_key| order_key.start_by.is_some())
        {
            self.update_order(key, now);
        }
        let entry = &self.jobs[key];
        let Some(worker_index) = round.select_worker(key, &reservation, &entry.job.kind) else {
            self.claim_if_starved(key, &reservation, round, now);
            return None;
        };
        round.reserve(worker_index, &reservation);
        let task = task::Id::new(entry.job.id.clone(), index);
        self.move_to_running(key, index, earlier_micros, reservation, now);
        Some(Assignment {
            task,
            worker_index,
            reservation,
        })
    }

    /// Moves a task from waiting to running.
    fn move_to_running(
        &mut self,
        key: JobKey,
        index: u32,
        earlier_micros: u64,
        reservation: Resources,
        now: Time,
    ) {
        let is_starved = self.is_starved(self.jobs[key].waiting_since, now);
        self.starts_in_order = if is_starved {
            0
        } else {
            self.starts_in_order.saturating_add(1)
        };
        let entry = &mut self.jobs[key];
        entry.waiting.remove(&index);
        entry.waiting_since = now;
        self.waiting_count -= 1;
        self.claims.retain(|(claimant, _)| *claimant != key);
        self.record_start(key, index, earlier_micros, reservation, now);
        self.update_order(key, now);
    }

    /// Adds a running task to the accounts of its team, its kind and long tasks.
    fn record_start(
        &mut self,
        key: JobKey,
        index: u32,
        earlier_micros: u64,
        reservation: Resources,
        now: Time,
    ) {
        let entry = &mut self.jobs[key];
        let kind = &mut self.groups.kinds[entry.kind];
        let team = &mut self.groups.teams[entry.team];
        team.reserved = team.reserved.plus(&reservation);
        kind.running += 1;
        let charged = processor_micros(kind.median_run_micros(), &reservation);
        entry.attained_service += charged;
        let is_long =
            earlier_micros >= self.settings.short_task_max_micros || kind.is_long(&self.settings);
        let long_at = now.plus_micros(
            self.settings
                .short_task_max_micros
                .saturating_sub(earlier_micros),
        );
        let run = Run {
            reservation,
            started_at: now,
            earlier_micros,
            charged,
            is_long,
            long_at,
        };
        self.long_tasks.add(key, index, &run);
        entry.runs.insert(index, run);
    }

    /// Reverses [`record_start`](Self::record_start), except for the job's attained service.
    fn record_end(&mut self, key: JobKey, index: u32, run: &Run) {
        let entry = &self.jobs[key];
        let team = &mut self.groups.teams[entry.team];
        team.reserved = team.reserved.saturating_sub(&run.reservation);
        self.groups.kinds[entry.kind].running -= 1;
        self.long_tasks.remove(key, index, run);
    }

    /// Reclassifies as long the tasks whose run time has reached the limit for short tasks.
    fn mark_long_tasks(&mut self, now: Time) {
        while let Some((key, index)) = self.long_tasks.pop_pending(now) {
            let entry = &mut self.jobs[key];
            if let Some(run) = entry.runs.get_mut(&index) {
                run.is_long = true;
                self.long_tasks.add(key, index, run);
            }
        }
    }

    /// Returns the reservation for the job's next task, or why it may not start.
    fn admit(&self, entry: &JobEntry, earlier_micros: u64) -> Result<Resources, WaitReason> {
        let reservation = self.reservation(entry).map_err(WaitReason::Unschedulable)?;
        let team = &self.groups.teams[entry.team];
        if let Some(quota) = team.quota.filter(|_| !team.admits(&reservation)) {
            let reserved = team.reserved;
            return Err(WaitReason::Quota { reserved, quota });
        }
        let kind = &self.groups.kinds[entry.kind];
        if kind.running_max.is_some_and(|max| kind.running >= max) {
            let running = kind.running;
            return Err(WaitReason::KindLimit { running });
        }
        let is_long =
            earlier_micros >= self.settings.short_task_max_micros || kind.is_long(&self.settings);
        if is_long && !self.fits_long_task_share(&reservation) {
            return Err(WaitReason::LongTaskShare);
        }
        Ok(reservation)
    }

    /// Returns whether `reservation` fits the share for long tasks. One long task may always run,
    /// whatever its size.
    fn fits_long_task_share(&self, reservation: &Resources) -> bool {
        let limit = self.fleet.total_processors_milli() as f64 * self.settings.long_task_share;
        let reserved = self.long_tasks.processors_milli();
        let wanted = reserved + u64::from(reservation.processors_milli);
        reserved == 0 || wanted as f64 <= limit
    }

    /// Returns the reservation for one task of the job.
    fn reservation(&self, entry: &JobEntry) -> Result<Resources, Unschedulable> {
        self.reservation_for(&entry.job, Some(entry.team), Some(entry.kind))
    }

    fn reservation_for(
        &self,
        job: &Job,
        team: Option<usize>,
        kind: Option<usize>,
    ) -> Result<Resources, Unschedulable> {
        let wanted = kind.map_or(job.demand, |kind| {
            self.groups.kinds[kind].reservation(&job.demand, &self.settings)
        });
        if self.fleet.is_empty() {
            return Ok(wanted);
        }
        let reservation = self.fleet.fit(&wanted, &job.demand)?;
        let quota = team.and_then(|team| self.groups.teams[team].quota);
        match quota {
            Some(quota) if !reservation.fits(&quota) => Err(Unschedulable::Quota {
                demand: reservation,
                team: job.team.clone(),
                quota,
            }),
            _ => Ok(reservation),
        }
    }

    fn exclude_if_unschedulable(&mut self, key: JobKey, reason: &WaitReason) {
        if !matches!(reason, WaitReason::Unschedulable(_)) {
            return;
        }
        if let Some(order_key) = self.jobs[key].order_key.take() {
            self.order.remove(key, &order_key);
        }
        self.unschedulable.insert(key);
    }

    fn recheck_unschedulable(&mut self, now: Time) {
        for key in std::mem::take(&mut self.unschedulable) {
            self.update_order(key, now);
        }
    }

    /// Claims a worker for a starved job that currently fits nowhere. Without a claim, smaller
    /// tasks could fill every gap and keep the job waiting indefinitely.
    fn claim_if_starved<Cost: Fn(&WorkerResources, &str) -> Option<f64>>(
        &mut self,
        key: JobKey,
        reservation: &Resources,
        round: &mut Round<'_, Cost>,
        now: Time,
    ) {
        let entry = &self.jobs[key];
        let claims_max = (self.fleet.len() / WORKERS_PER_CLAIM).max(1);
        let has_claim = self.claims.iter().any(|(claimant, _)| *claimant == key);
        let is_starved = self.is_starved(entry.waiting_since, now);
        if !is_starved || has_claim || self.claims.len() >= claims_max {
            return;
        }
        if let Some(worker) = round.choose_claim(reservation, &entry.job.kind) {
            round.claim(key, &worker);
            self.claims.push((key, worker));
        }
    }

    fn next_starved(&self, cursor: &mut Cursor, now: Time) -> Option<JobKey> {
        if self.starts_in_order < self.settings.starts_between_starved {
            return None;
        }
        self.order
            .next_starved(cursor, |waiting_since| self.is_starved(waiting_since, now))
    }

    fn starts_before_starved(&self) -> usize {
        let starts = self.settings.starts_between_starved;
        starts.saturating_sub(self.starts_in_order).max(1) as usize
    }

    /// Returns whether a job without a start since `waiting_since` counts as starved.
    fn is_starved(&self, waiting_since: Time, now: Time) -> bool {
        waiting_since.plus_micros(self.settings.starved_micros) <= now
    }

    /// Recomputes a job's position in the order, or removes it if it has no schedulable task.
    fn update_order(&mut self, key: JobKey, now: Time) {
        let entry = &self.jobs[key];
        let order_key = (!entry.waiting.is_empty()).then(|| self.order_key(entry, now));
        let is_unschedulable = order_key.is_some() && self.reservation(entry).is_err();
        let order_key = order_key.filter(|_| !is_unschedulable);
        let previous = entry.order_key;
        if is_unschedulable {
            self.unschedulable.insert(key);
        } else {
            self.unschedulable.remove(&key);
        }
        if previous == order_key {
            return;
        }
        if let Some(previous) = previous {
            self.order.remove(key, &previous);
        }
        if let Some(order_key) = order_key {
            self.order.insert(key, &order_key);
        }
        self.jobs[key].order_key = order_key;
    }

    fn order_key(&self, entry: &JobEntry, now: Time) -> OrderKey {
        let run_micros = self.groups.kinds[entry.kind].p90_run_micros();
        OrderKey {
            urgency: entry.job.urgency,
            level: match entry.job.urgency {
                Urgency::Urgent => 0,
                Urgency::Normal | Urgency::Idle => self.settings.level(entry.attained_service),
            },
            sequence: entry.sequence,
            start_by: entry.start_by(run_micros, self.settings.deadline_slack_micros, now),
            waiting_since: entry.waiting_since,
        }
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
