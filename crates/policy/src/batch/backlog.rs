//! Waiting and running tasks of a cell.

use std::collections::{BTreeSet, HashMap};

use foldhash::fast::RandomState;
use slotmap::SlotMap;
use smallvec::SmallVec;
use toucanquay_model::{
    Resources, Section, Time, exchange::TaskUsage, job, job::Urgency, task, worker,
};

use super::{
    Assignment, Ending, Job, Room, Settings, Unfit, Wait,
    entry::Entry,
    fleet::Fleet,
    kind::Kind,
    order::{Cursor, Key, Order, Place},
    round::Round,
    run::Run,
    team::Team,
};

/// Workers for each claim of a starved job, so that claims never idle much of the cell.
const WORKERS_PER_CLAIM: usize = 16;

/// Tasks that wait, in the order in which they should start, and tasks that run.
///
/// The caller reports every worker with [`join`](Self::join), every waiting task with
/// [`push`](Self::push), every running task that was not started by [`assign`](Self::assign) with
/// [`adopt`](Self::adopt), and the end of every attempt with [`end`](Self::end).
///
/// # Examples
///
/// ```
/// use toucanquay_model::{Resources, Time, job::Urgency, worker};
/// use toucanquay_policy::batch::{Backlog, Job, Room, Settings};
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
/// backlog.join(&worker, capacity, Time::ZERO);
/// backlog.push(&job, 0..2, Time::ZERO);
///
/// let mut rooms = [Room::new(worker, capacity)];
/// let assignments = backlog.assign(&mut rooms, Time::ZERO, 10, |_, _| Some(0.0));
/// assert_eq!(assignments.len(), 1);
/// assert_eq!(rooms[0].free.processors_milli, 1_000);
/// ```
#[derive(Debug, Clone)]
pub struct Backlog {
    settings: Settings,
    jobs: SlotMap<Key, Entry>,
    by_id: HashMap<job::Id, Key, RandomState>,
    teams: Vec<Team>,
    team_index: HashMap<String, usize, RandomState>,
    kinds: Vec<Kind>,
    kind_index: HashMap<(usize, String), usize, RandomState>,
    order: Order,
    /// Jobs that no known worker can hold; they are not in the order.
    unfit: BTreeSet<Key>,
    fleet: Fleet,
    claims: SmallVec<[(Key, worker::Id); 4]>,
    /// Running tasks by the time at which they turn into long work.
    turning: BTreeSet<(Time, Key, u32)>,
    /// Processors held by long work, in thousandths.
    long_milli: u64,
    starts_in_order: u32,
    next_sequence: u64,
    offset: usize,
    waiting: usize,
}

impl Backlog {
    /// Returns an empty backlog.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            jobs: SlotMap::with_key(),
            by_id: HashMap::default(),
            teams: Vec::new(),
            team_index: HashMap::default(),
            kinds: Vec::new(),
            kind_index: HashMap::default(),
            order: Order::default(),
            unfit: BTreeSet::new(),
            fleet: Fleet::default(),
            claims: SmallVec::new(),
            turning: BTreeSet::new(),
            long_milli: 0,
            starts_in_order: 0,
            next_sequence: 0,
            offset: 0,
            waiting: 0,
        }
    }

    /// Applies the quota and the limits of a team's section.
    pub fn configure(&mut self, team: &str, section: &Section, now: Time) {
        let index = self.team(team);
        self.teams[index].quota = section.quota;
        for ((owner, _), kind) in &self.kind_index {
            if *owner == index {
                self.kinds[*kind].running_max = None;
            }
        }
        for (name, batch) in &section.batch {
            let kind = self.kind(index, name);
            self.kinds[kind].running_max = batch.running_max;
        }
        self.recheck_unfit(now);
    }

    /// Adds a worker or changes its capacity.
    pub fn join(&mut self, worker: &worker::Id, capacity: Resources, now: Time) {
        if self.fleet.join(worker, capacity) {
            self.recheck_unfit(now);
        }
    }

    /// Removes a worker. Its running tasks remain until [`end`](Self::end) is called for each.
    pub fn leave(&mut self, worker: &worker::Id) {
        self.fleet.leave(worker);
        self.claims.retain(|(_, claimed)| claimed != worker);
    }

    /// Adds waiting tasks of a job. A task that already waits or runs is left as it is.
    pub fn push(&mut self, job: &Job, indexes: impl IntoIterator<Item = u32>, now: Time) {
        let key = self.enter(job, now);
        let entry = &mut self.jobs[key];
        entry.is_removed = false;
        if entry.waiting.is_empty() {
            entry.since = now;
        }
        for index in indexes {
            if entry.waiting.contains_key(&index) || entry.runs.contains_key(&index) {
                continue;
            }
            let earlier_micros = entry.stopped.remove(&index).unwrap_or(0);
            entry.waiting.insert(index, earlier_micros);
            self.waiting += 1;
        }
        self.arrange(key, now);
    }

    /// Removes a waiting task; tells whether it waited.
    ///
    /// It also forgets a task whose attempt ended and that will not be pushed again, so call it
    /// for a task that failed for good.
    pub fn remove(&mut self, task: &task::Id, now: Time) -> bool {
        let Some(&key) = self.by_id.get(&task.job) else {
            return false;
        };
        let entry = &mut self.jobs[key];
        entry.stopped.remove(&task.index);
        let is_removed = entry.waiting.remove(&task.index).is_some();
        self.waiting -= usize::from(is_removed);
        self.arrange(key, now);
        self.forget_if_over(key);
        is_removed
    }

    /// Removes all waiting tasks of a job and returns their number. Running ones remain.
    pub fn remove_job(&mut self, job: &job::Id, now: Time) -> usize {
        let Some(&key) = self.by_id.get(job) else {
            return 0;
        };
        let entry = &mut self.jobs[key];
        let count = entry.waiting.len();
        entry.waiting.clear();
        entry.stopped.clear();
        entry.is_removed = true;
        self.waiting -= count;
        self.arrange(key, now);
        self.forget_if_over(key);
        count
    }

    /// Records a task that runs already, as a new owner learns from a report at its takeover.
    pub fn adopt(&mut self, job: &Job, index: u32, reservation: Resources, now: Time) {
        let key = self.enter(job, now);
        let entry = &mut self.jobs[key];
        if entry.runs.contains_key(&index) {
            return;
        }
        let is_waiting = entry.waiting.remove(&index).is_some();
        self.waiting -= usize::from(is_waiting);
        self.hold(key, index, 0, reservation, now);
        self.arrange(key, now);
    }

    /// Records the end of an attempt and returns what it held, or `None` when it did not run.
    ///
    /// Unless it finished, the task is expected back by [`push`](Self::push) or given up by
    /// [`remove`](Self::remove) or [`remove_job`](Self::remove_job).
    pub fn end(&mut self, task: &task::Id, ending: Ending, now: Time) -> Option<Resources> {
        let key = *self.by_id.get(&task.job)?;
        let entry = &mut self.jobs[key];
        let run = entry.runs.remove(&task.index)?;
        let run_micros = now.micros_since(run.started);
        let total_micros = run.earlier_micros + run_micros;
        entry.service -= run.charged.min(entry.service);
        if ending != Ending::NotStarted {
            entry.service += service(run_micros, &run.reservation);
        }
        match ending {
            Ending::Finished => self.kinds[entry.kind].finished(total_micros),
            _ if entry.is_removed => {}
            Ending::Stopped => drop(entry.stopped.insert(task.index, total_micros)),
            Ending::Failed | Ending::NotStarted => {
                entry.stopped.insert(task.index, run.earlier_micros);
            }
        }
        self.release(key, task.index, &run);
        self.arrange(key, now);
        self.forget_if_over(key);
        Some(run.reservation)
    }

    /// Learns from the measured usage of a running task.
    ///
    /// A report of a task that does not run any more is ignored, and so is one whose task was
    /// throttled if the caller leaves it out, as it should.
    pub fn observe(&mut self, usage: &TaskUsage, now: Time) {
        let Some(&key) = self.by_id.get(&usage.task.job) else {
            return;
        };
        let kind = self.jobs[key].kind;
        let is_learned = self.kinds[kind].observe(usage, &self.settings);
        if is_learned {
            self.recheck_unfit(now);
        }
    }

    /// Starts waiting tasks in order, at most `most`, and takes what they hold from `rooms`.
    ///
    /// `price` returns the cost of a kind's task on a worker, on the scale of
    /// [`InterferenceModel::penalty`](crate::interfere::InterferenceModel::penalty), or `None`
    /// when nothing may start there.
    pub fn assign(
        &mut self,
        rooms: &mut [Room],
        now: Time,
        most: usize,
        price: impl Fn(&Room, &str) -> Option<f64>,
    ) -> Vec<Assignment> {
        self.turn_long(now);
        let candidates = self.settings.candidates;
        let mut round = Round::new(rooms, &self.claims, candidates, self.offset, price);
        let mut cursor = Cursor::default();
        let mut assignments = Vec::new();
        let mut again = None;
        while assignments.len() < most {
            if let Some(key) = self.next_starved(&mut cursor, now) {
                self.start(key, 1, &mut round, now, &mut assignments);
                continue;
            }
            let next = again.or_else(|| self.order.next_ranked(&mut cursor, now));
            let Some(key) = next else {
                break;
            };
            let level = self.level(key);
            let count = (most - assignments.len()).min(self.starts_before_starved());
            let is_full = self.start(key, count, &mut round, now, &mut assignments);
            // A job that has moved to a lower level waits for its turn there.
            again = (is_full && self.level(key) == level).then_some(key);
        }
        self.offset = round.offset();
        assignments
    }

    /// Returns why a task waits, or `None` when it does not wait.
    #[must_use]
    pub fn wait(&self, task: &task::Id) -> Option<Wait> {
        let key = *self.by_id.get(&task.job)?;
        let entry = &self.jobs[key];
        let earlier_micros = *entry.waiting.get(&task.index)?;
        if self.fleet.is_empty() {
            return Some(Wait::NoWorker);
        }
        let wait = match self.admit(entry, earlier_micros) {
            Ok(reservation) => Wait::Room { reservation },
            Err(wait) => wait,
        };
        Some(wait)
    }

    /// Returns the jobs that no known worker can ever hold, with the reasons.
    pub fn unfit(&self) -> impl Iterator<Item = (&job::Id, Unfit)> {
        self.unfit.iter().filter_map(|key| {
            let entry = &self.jobs[*key];
            let unfit = self.reservation(entry).err()?;
            Some((&entry.job.id, unfit))
        })
    }

    /// Returns why no known worker can ever hold a task of `job`, whether or not it waits.
    #[must_use]
    pub fn unfit_reason(&self, job: &Job) -> Option<Unfit> {
        let team = self.team_index.get(&job.team).copied();
        let kind = team.and_then(|team| self.kind_index.get(&(team, job.kind.clone())));
        self.reserve(job, team, kind.copied()).err()
    }

    /// Returns the number of waiting tasks.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.waiting
    }

    /// Tells whether no task waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Returns what the running tasks of a team hold.
    #[must_use]
    pub fn held(&self, team: &str) -> Resources {
        let team = self.team_index.get(team);
        team.map_or(Resources::ZERO, |index| self.teams[*index].held)
    }

    fn level(&self, key: Key) -> Option<usize> {
        self.jobs[key].place.map(|place| place.level)
    }

    /// Starts up to `count` tasks of a job; tells whether all of them started and more wait.
    fn start<Price: Fn(&Room, &str) -> Option<f64>>(
        &mut self,
        key: Key,
        count: usize,
        round: &mut Round<'_, Price>,
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

    fn start_one<Price: Fn(&Room, &str) -> Option<f64>>(
        &mut self,
        key: Key,
        round: &mut Round<'_, Price>,
        now: Time,
    ) -> Option<Assignment> {
        let entry = &self.jobs[key];
        let (&index, &earlier_micros) = entry.waiting.first_key_value()?;
        let reservation = match self.admit(entry, earlier_micros) {
            Ok(reservation) => reservation,
            Err(wait) => {
                self.park_if_unfit(key, &wait);
                return None;
            }
        };
        let is_overdue = entry.job.finish_by.is_some_and(|deadline| deadline <= now);
        if is_overdue && entry.place.is_some_and(|place| place.start_by.is_some()) {
            self.arrange(key, now);
        }
        let entry = &self.jobs[key];
        let Some(room) = round.pick(key, &reservation, &entry.job.kind) else {
            self.claim_if_starved(key, &reservation, round, now);
            return None;
        };
        round.take(room, &reservation);
        let task = task::Id::new(entry.job.id.clone(), index);
        self.begin(key, index, earlier_micros, reservation, now);
        Some(Assignment {
            task,
            room,
            reservation,
        })
    }

    /// Moves a task from waiting to running.
    fn begin(&mut self, key: Key, index: u32, earlier: u64, reservation: Resources, now: Time) {
        let is_starved = self.is_starved(self.jobs[key].since, now);
        self.starts_in_order = if is_starved {
            0
        } else {
            self.starts_in_order.saturating_add(1)
        };
        let entry = &mut self.jobs[key];
        entry.waiting.remove(&index);
        entry.since = now;
        self.waiting -= 1;
        self.claims.retain(|(owner, _)| *owner != key);
        self.hold(key, index, earlier, reservation, now);
        self.arrange(key, now);
    }

    /// Counts a running task against its team, its kind and the share of long work.
    fn hold(&mut self, key: Key, index: u32, earlier: u64, reservation: Resources, now: Time) {
        let entry = &mut self.jobs[key];
        let kind = &mut self.kinds[entry.kind];
        let team = &mut self.teams[entry.team];
        team.held = team.held.plus(&reservation);
        kind.running += 1;
        let charged = service(kind.run_typical(), &reservation);
        entry.service += charged;
        let is_long = earlier >= self.settings.short_micros || kind.is_long(&self.settings);
        let long_at = now.plus_micros(self.settings.short_micros.saturating_sub(earlier));
        if is_long {
            self.long_milli += u64::from(reservation.processors_milli);
        } else {
            self.turning.insert((long_at, key, index));
        }
        let run = Run {
            reservation,
            started: now,
            earlier_micros: earlier,
            charged,
            is_long,
            long_at,
        };
        entry.runs.insert(index, run);
    }

    /// Reverses [`hold`](Self::hold), except for the service of the job.
    fn release(&mut self, key: Key, index: u32, run: &Run) {
        let entry = &self.jobs[key];
        let team = &mut self.teams[entry.team];
        team.held = team.held.saturating_sub(&run.reservation);
        self.kinds[entry.kind].running -= 1;
        if run.is_long {
            self.long_milli -= u64::from(run.reservation.processors_milli);
        } else {
            self.turning.remove(&(run.long_at, key, index));
        }
    }

    /// Counts the tasks that have run for long enough as long work.
    fn turn_long(&mut self, now: Time) {
        while let Some(&(long_at, key, index)) = self.turning.first() {
            if long_at > now {
                break;
            }
            self.turning.pop_first();
            let entry = &mut self.jobs[key];
            if let Some(run) = entry.runs.get_mut(&index) {
                run.is_long = true;
                self.long_milli += u64::from(run.reservation.processors_milli);
            }
        }
    }

    /// Returns what the job's next task would hold, or why it may not start.
    fn admit(&self, entry: &Entry, earlier_micros: u64) -> Result<Resources, Wait> {
        let reservation = self.reservation(entry).map_err(Wait::Unfit)?;
        let team = &self.teams[entry.team];
        if let Some(quota) = team.quota.filter(|_| !team.admits(&reservation)) {
            let held = team.held;
            return Err(Wait::Quota { held, quota });
        }
        let kind = &self.kinds[entry.kind];
        if kind.running_max.is_some_and(|max| kind.running >= max) {
            let running = kind.running;
            return Err(Wait::Running { running });
        }
        let is_long = earlier_micros >= self.settings.short_micros || kind.is_long(&self.settings);
        if is_long && !self.has_long_share(&reservation) {
            return Err(Wait::LongShare);
        }
        Ok(reservation)
    }

    /// Tells whether long work may hold `reservation` more. One long task may always run.
    fn has_long_share(&self, reservation: &Resources) -> bool {
        let limit = self.fleet.total_milli() as f64 * self.settings.long_share;
        let wanted = self.long_milli + u64::from(reservation.processors_milli);
        self.long_milli == 0 || wanted as f64 <= limit
    }

    /// Returns what one task of the job would hold.
    fn reservation(&self, entry: &Entry) -> Result<Resources, Unfit> {
        self.reserve(&entry.job, Some(entry.team), Some(entry.kind))
    }

    fn reserve(
        &self,
        job: &Job,
        team: Option<usize>,
        kind: Option<usize>,
    ) -> Result<Resources, Unfit> {
        let wanted = kind.map_or(job.demand, |kind| {
            self.kinds[kind].reservation(&job.demand, &self.settings)
        });
        if self.fleet.is_empty() {
            return Ok(wanted);
        }
        let reservation = self.fleet.fit(&wanted, &job.demand)?;
        let quota = team.and_then(|team| self.teams[team].quota);
        match quota {
            Some(quota) if !reservation.fits(&quota) => Err(Unfit::Quota {
                demand: reservation,
                team: job.team.clone(),
                quota,
            }),
            _ => Ok(reservation),
        }
    }

    fn park_if_unfit(&mut self, key: Key, wait: &Wait) {
        if !matches!(wait, Wait::Unfit(_)) {
            return;
        }
        if let Some(place) = self.jobs[key].place.take() {
            self.order.remove(key, &place);
        }
        self.unfit.insert(key);
    }

    fn recheck_unfit(&mut self, now: Time) {
        for key in std::mem::take(&mut self.unfit) {
            self.arrange(key, now);
        }
    }

    /// Keeps a worker free for a starved job that fits nowhere, so that it does not wait for ever
    /// while smaller tasks fill each gap.
    fn claim_if_starved<Price: Fn(&Room, &str) -> Option<f64>>(
        &mut self,
        key: Key,
        reservation: &Resources,
        round: &mut Round<'_, Price>,
        now: Time,
    ) {
        let entry = &self.jobs[key];
        let claims_max = (self.fleet.len() / WORKERS_PER_CLAIM).max(1);
        let has_claim = self.claims.iter().any(|(owner, _)| *owner == key);
        let is_starved = self.is_starved(entry.since, now);
        if !is_starved || has_claim || self.claims.len() >= claims_max {
            return;
        }
        if let Some(worker) = round.claimable(reservation, &entry.job.kind) {
            round.claim(key, &worker);
            self.claims.push((key, worker));
        }
    }

    fn next_starved(&self, cursor: &mut Cursor, now: Time) -> Option<Key> {
        if self.starts_in_order < self.settings.starts_between_starved {
            return None;
        }
        self.order
            .next_starved(cursor, |since| self.is_starved(since, now))
    }

    fn starts_before_starved(&self) -> usize {
        let starts = self.settings.starts_between_starved;
        starts.saturating_sub(self.starts_in_order).max(1) as usize
    }

    /// Tells whether a job that has waited without a start since `since` is starved.
    fn is_starved(&self, since: Time, now: Time) -> bool {
        since.plus_micros(self.settings.starved_micros) <= now
    }

    /// Puts a job where it belongs in the order.
    fn arrange(&mut self, key: Key, now: Time) {
        let entry = &self.jobs[key];
        let place = (!entry.waiting.is_empty()).then(|| self.place(entry, now));
        let is_unfit = place.is_some() && self.reservation(entry).is_err();
        let place = place.filter(|_| !is_unfit);
        let previous = entry.place;
        if is_unfit {
            self.unfit.insert(key);
        } else {
            self.unfit.remove(&key);
        }
        if previous == place {
            return;
        }
        if let Some(previous) = previous {
            self.order.remove(key, &previous);
        }
        if let Some(place) = place {
            self.order.insert(key, &place);
        }
        self.jobs[key].place = place;
    }

    fn place(&self, entry: &Entry, now: Time) -> Place {
        let run_micros = self.kinds[entry.kind].run_cautious();
        Place {
            urgency: entry.job.urgency,
            level: match entry.job.urgency {
                Urgency::Urgent => 0,
                Urgency::Normal | Urgency::Idle => self.settings.level(entry.service),
            },
            sequence: entry.sequence,
            start_by: entry.start_by(run_micros, self.settings.slack_micros, now),
            since: entry.since,
        }
    }

    fn enter(&mut self, job: &Job, now: Time) -> Key {
        if let Some(key) = self.by_id.get(&job.id) {
            return *key;
        }
        let team = self.team(&job.team);
        let kind = self.kind(team, &job.kind);
        let entry = Entry::new(job.clone(), team, kind, self.next_sequence, now);
        self.next_sequence += 1;
        let key = self.jobs.insert(entry);
        self.by_id.insert(job.id.clone(), key);
        key
    }

    fn forget_if_over(&mut self, key: Key) {
        if !self.jobs[key].is_over() {
            return;
        }
        if let Some(entry) = self.jobs.remove(key) {
            self.by_id.remove(&entry.job.id);
        }
        self.unfit.remove(&key);
        self.claims.retain(|(owner, _)| *owner != key);
    }

    fn team(&mut self, name: &str) -> usize {
        if let Some(index) = self.team_index.get(name) {
            return *index;
        }
        self.teams.push(Team::default());
        self.team_index
            .insert(name.to_owned(), self.teams.len() - 1);
        self.teams.len() - 1
    }

    fn kind(&mut self, team: usize, name: &str) -> usize {
        let index = (team, name.to_owned());
        if let Some(kind) = self.kind_index.get(&index) {
            return *kind;
        }
        self.kinds.push(Kind::new());
        self.kind_index.insert(index, self.kinds.len() - 1);
        self.kinds.len() - 1
    }
}

/// Returns the service of a run in processor-microseconds.
fn service(run_micros: u64, reservation: &Resources) -> u64 {
    run_micros.saturating_mul(u64::from(reservation.processors_milli)) / 1_000
}
