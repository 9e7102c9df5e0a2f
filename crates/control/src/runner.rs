//! State of a companion that takes orders in sessions: attempts on its worker, ends that are not
//! acknowledged, the worker's lease, and the pace of tasks that use idle processors.

mod action;
mod beat;
mod entry;
mod listed;
mod listing;
mod outcome;
mod pacer;
mod reading;
mod settings;
mod sharing;

use std::collections::BTreeMap;

use toucanquay_model::{
    Epoch, Incarnation, Resources, Time,
    graph::Task,
    session::{AttemptStatus, End, Orders, Phase, Rejection, Start, Stop, Update, Worker},
};
use toucanquay_policy::pressure::{Estimate, Model};

pub use action::Action;
pub use beat::Beat;
use entry::Entry;
pub use listed::Listed;
pub use listing::Listing;
pub use outcome::Outcome;
pub use settings::Settings;

/// Time after the start or end of an attempt from which renewed figures cover only the present
/// ones. Latencies and processors in use cover the same time, so a change of pace disturbs nothing.
const STEADY_MICROS: u64 = 300_000;

/// An attempt at a task.
type Key = (Task, u64);

/// Attempts on one worker, as its companion knows them.
///
/// The worker itself guards nothing. This table is the final authority on capacity, on attempts
/// of one task and on draining.
#[derive(Debug)]
pub struct Runner {
    settings: Settings,
    epoch: Epoch,
    applied: u64,
    updates: u64,
    lease_until: Time,
    /// Highest epoch of a call that the worker has answered in this life.
    fenced: Epoch,
    worker: Option<Worker>,
    worker_id: String,
    /// The worker has ended, and no other life of it was seen.
    is_vacant: bool,
    beat: u64,
    life: Incarnation,
    listed_at: Option<Time>,
    /// When an attempt that uses idle processors was last started or ended.
    disturbed_at: Time,
    /// Renewed figures that cover the present attempts were listed since the last update.
    has_sample: bool,
    runs: BTreeMap<Key, Entry>,
    ends: Vec<End>,
    ends_seen: u64,
    acknowledged: u64,
    /// How images disturb each other. Its keys are the owner's.
    model: Model,
}

impl Runner {
    /// Returns the table of a process that starts now.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            epoch: 0,
            applied: 0,
            updates: 0,
            lease_until: Time::ZERO,
            fenced: 0,
            worker: None,
            worker_id: String::new(),
            is_vacant: false,
            beat: 0,
            life: 0,
            listed_at: None,
            disturbed_at: Time::ZERO,
            has_sample: false,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            ends_seen: 0,
            acknowledged: 0,
            model: Model::default(),
        }
    }

    /// Takes a heartbeat of the worker. Returns whether it changed what is known.
    ///
    /// Heartbeats of a former life and those that were overtaken are ignored.
    pub fn announce(&mut self, beat: Beat) -> bool {
        if beat.worker.incarnation < self.life {
            return false;
        }
        if beat.worker.incarnation > self.life {
            self.begin_life(beat.worker.incarnation);
        }
        if beat.sequence <= self.beat && self.worker.is_some() {
            return false;
        }
        self.beat = beat.sequence;
        self.worker_id = beat.id;
        let mut worker = beat.worker;
        // A life that has begun to drain doesn't return to service.
        worker.is_draining |= self
            .worker
            .as_ref()
            .is_some_and(|former| former.is_draining);
        let is_changed = self.worker.as_ref() != Some(&worker);
        self.worker = Some(worker);
        is_changed
    }

    /// The worker says that it ends now.
    pub fn withdraw(&mut self, id: &str) {
        if self.worker_id == id {
            self.lose_worker();
        }
    }

    /// The worker's process is gone: its address refuses connections.
    pub fn lose_worker(&mut self) {
        self.worker = None;
        self.is_vacant = true;
        self.runs.clear();
        self.ends.clear();
        // Whatever is heard next of the same life is an old message.
        self.life += 1;
        self.forget_life();
    }

    /// Begins a session with the owner of `epoch`. Returns `false` if a later owner is known.
    pub fn begin_session(&mut self, epoch: Epoch) -> bool {
        if epoch < self.epoch {
            return false;
        }
        if epoch > self.epoch {
            // Images have other keys at another owner.
            self.model = Model::default();
        }
        self.epoch = epoch;
        self.applied = 0;
        true
    }

    /// Applies orders of the session's owner.
    pub fn apply(&mut self, orders: &Orders, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        if orders.epoch != self.epoch || orders.number <= self.applied {
            return actions;
        }
        self.applied = orders.number;
        let lease_until = orders.stamp.plus_micros(self.settings.lease_micros);
        self.lease_until = self.lease_until.max(lease_until);
        self.acknowledge(orders);
        for (stop, profile) in &orders.profiles {
            if let Some(entry) = self.runs.get_mut(&(stop.task, stop.attempt)) {
                entry.profile = Some(*profile);
            }
        }
        for effect in &orders.effects {
            let value = f64::from(effect.percent) / 100.0;
            let deviation = f64::from(effect.deviation_percent) / 100.0;
            self.model.suggest(
                effect.sensitive as usize,
                effect.other as usize,
                Estimate::new(value, deviation),
            );
        }
        for stop in &orders.stops {
            self.stop(*stop, &mut actions);
        }
        let is_other_life = orders.worker != self.life;
        for start in &orders.starts {
            self.start(start, is_other_life, lease_until, now, &mut actions);
        }
        actions
    }

    /// Takes the outcome of a start. Returns the paces to set.
    pub fn started(
        &mut self,
        task: Task,
        attempt: u64,
        outcome: Outcome,
        now: Time,
    ) -> Vec<Action> {
        let Some(entry) = self.runs.get_mut(&(task, attempt)) else {
            return Vec::new();
        };
        match outcome {
            Outcome::Done => {
                entry.confirm(now);
                if entry.is_paced() {
                    return self.begin_pace((task, attempt), now);
                }
            }
            Outcome::Refused if entry.phase == Phase::Starting => {
                entry.phase = Phase::Rejected(Rejection::Refused);
            }
            Outcome::Refused => {}
            Outcome::Unknown => {
                entry.stop_at = now.plus_micros(self.settings.unknown_micros);
            }
        }
        Vec::new()
    }

    /// Takes the outcome of a stop.
    pub fn stopped(&mut self, task: Task, attempt: u64, outcome: Outcome, now: Time) {
        let Some(entry) = self.runs.get_mut(&(task, attempt)) else {
            return;
        };
        match outcome {
            Outcome::Done => entry.settled_at = Some(now),
            // The worker is another life or doesn't know the attempt; a list shows which.
            Outcome::Refused => entry.settled_at = Some(now),
            Outcome::Unknown => entry.stop_at = now.plus_micros(self.settings.retry_micros),
        }
    }

    /// Takes the worker's list of attempts. Returns the paces to set.
    pub fn listed(&mut self, listing: Listing, now: Time) -> Vec<Action> {
        if listing.incarnation < self.life {
            return Vec::new();
        }
        if listing.incarnation > self.life {
            self.begin_life(listing.incarnation);
        }
        if self.listed_at.is_some_and(|last| listing.called_at < last) {
            return Vec::new();
        }
        self.listed_at = Some(listing.called_at);
        self.fenced = self.fenced.max(listing.epoch);
        let called_at = listing.called_at;
        for entry in self.runs.values_mut() {
            entry.is_listed = false;
        }
        let mut is_renewed = false;
        for row in listing.running {
            is_renewed |= self.adopt(row, now);
        }
        for end in listing.finished {
            self.finish(end, now);
        }
        let steady_at = self.disturbed_at.plus_micros(STEADY_MICROS);
        let is_sample = is_renewed && now >= steady_at;
        self.has_sample |= is_sample;
        self.settle(called_at);
        if is_sample {
            self.learn();
        }
        let has_ended = self.disturbed_at == now;
        if is_renewed || has_ended {
            return self.pace(now);
        }
        Vec::new()
    }

    /// Returns what is due: stops of starts without an outcome, and repeated stops.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        for ((task, attempt), entry) in &mut self.runs {
            if now >= entry.stop_at {
                entry.stop_at = Time::NEVER;
                entry.phase = Phase::Stopping;
                actions.push(Action::Stop(Stop {
                    task: *task,
                    attempt: *attempt,
                }));
            }
        }
        actions
    }

    /// Returns the next update for the owner.
    pub fn update(&mut self, now: Time) -> Update {
        self.updates += 1;
        for entry in self.runs.values_mut() {
            if matches!(entry.phase, Phase::Rejected(_)) {
                entry.reported_in.get_or_insert(self.updates);
            }
        }
        let runs = self
            .runs
            .iter()
            .map(|((task, attempt), entry)| AttemptStatus {
                task: *task,
                attempt: *attempt,
                phase: entry.phase,
                checkpoint: entry.checkpoint.clone(),
                done_percent: entry.done_percent,
                gauge: entry.reading.present(),
                gauge_min: entry.reading.lowest(),
                pace_percent: entry.pace,
            });
        Update {
            host: self.settings.host.clone(),
            process: self.settings.process,
            number: self.updates,
            stamp: now,
            epoch: self.epoch,
            applied: self.applied,
            is_settled: self.is_settled(),
            has_sample: std::mem::take(&mut self.has_sample),
            // Before the first list it isn't known what the worker runs.
            worker: self.worker.clone().filter(|_| self.listed_at.is_some()),
            runs: runs.collect(),
            ends: self.ends.clone(),
        }
    }

    /// Returns when the worker's lease ends, by this process's clock.
    #[must_use]
    pub const fn lease_until(&self) -> Time {
        self.lease_until
    }

    /// Returns the number of the last end that is durable.
    #[must_use]
    pub const fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// Returns the epoch of the highest owner that is known.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the number of the last end that was listed.
    #[must_use]
    pub const fn ends_seen(&self) -> u64 {
        self.ends_seen
    }

    /// Tells whether ends wait for their acknowledgement.
    #[must_use]
    pub fn has_ends(&self) -> bool {
        !self.ends.is_empty()
    }

    /// Returns a value that differs after a change of which the owner has to hear at once.
    #[must_use]
    pub fn digest(&self) -> (Incarnation, u64, usize, usize, bool) {
        let rejected = |entry: &&Entry| !entry.is_on_worker();
        (
            self.life,
            self.ends_seen,
            self.runs.len(),
            self.runs.values().filter(rejected).count(),
            self.listed_at.is_some(),
        )
    }

    /// Returns the worker, if it is known.
    #[must_use]
    pub const fn worker(&self) -> Option<&Worker> {
        self.worker.as_ref()
    }

    /// Tells whether the worker has ended, and with it all that it ran.
    #[must_use]
    pub const fn is_vacant(&self) -> bool {
        self.is_vacant
    }

    /// Returns the identifier under which the worker announced itself.
    #[must_use]
    pub fn worker_id(&self) -> &str {
        &self.worker_id
    }

    /// Returns what the attempts on the worker occupy.
    #[must_use]
    pub fn occupied(&self) -> Resources {
        let on_worker = self.runs.values().filter(|entry| entry.is_on_worker());
        on_worker
            .filter_map(|entry| entry.profile)
            .fold(Resources::ZERO, |sum, profile| sum.plus(&profile.occupied))
    }

    /// Tells whether no start of an earlier owner that this table doesn't hold can take effect: the
    /// worker has answered a call of the present epoch, and does nothing for a lower one.
    const fn is_settled(&self) -> bool {
        self.epoch > 0 && self.fenced >= self.epoch
    }

    fn begin_life(&mut self, incarnation: Incarnation) {
        self.life = incarnation;
        self.worker = None;
        self.is_vacant = false;
        self.runs.clear();
        self.ends.clear();
        self.forget_life();
    }

    const fn forget_life(&mut self) {
        self.beat = 0;
        self.ends_seen = 0;
        self.acknowledged = 0;
        self.listed_at = None;
        self.fenced = 0;
    }

    fn acknowledge(&mut self, orders: &Orders) {
        if orders.worker == self.life {
            self.acknowledged = self.acknowledged.max(orders.acknowledged);
            self.ends.retain(|end| end.number > self.acknowledged);
        }
        self.runs.retain(|_, entry| {
            let is_known = entry
                .reported_in
                .is_some_and(|number| number <= orders.update);
            !is_known
        });
    }

    fn stop(&mut self, stop: Stop, actions: &mut Vec<Action>) {
        let key = (stop.task, stop.attempt);
        if self.ends.iter().any(|end| (end.task, end.attempt) == key) {
            return;
        }
        let entry = self.runs.entry(key).or_insert_with(Entry::adopted);
        match entry.phase {
            Phase::Starting | Phase::Running => {
                entry.phase = Phase::Stopping;
                entry.stop_at = Time::NEVER;
                actions.push(Action::Stop(stop));
            }
            Phase::Stopping | Phase::Rejected(_) => {}
        }
    }

    fn start(
        &mut self,
        start: &Start,
        is_other_life: bool,
        lease_until: Time,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let key = (start.task, start.attempt);
        if self.runs.contains_key(&key) {
            return;
        }
        let mut entry = Entry::starting(start.profile);
        let rejection = if is_other_life {
            Some(Rejection::OtherLife)
        } else {
            self.rejection(start, lease_until, now)
        };
        match rejection {
            Some(reason) => entry.phase = Phase::Rejected(reason),
            None => actions.push(Action::Start {
                start: start.clone(),
                lease_until,
            }),
        }
        self.runs.insert(key, entry);
    }

    fn rejection(&self, start: &Start, lease_until: Time, now: Time) -> Option<Rejection> {
        let Some(worker) = &self.worker else {
            return Some(Rejection::Draining);
        };
        if worker.is_draining {
            return Some(Rejection::Draining);
        }
        if lease_until < now.plus_micros(self.settings.lease_micros_min) {
            return Some(Rejection::LeaseOver);
        }
        let mut others = self.runs.iter();
        if others.any(|((task, _), entry)| *task == start.task && entry.is_on_worker()) {
            return Some(Rejection::SameTask);
        }
        let occupied = self.occupied().plus(&start.profile.occupied);
        (!occupied.fits(&worker.capacity)).then_some(Rejection::NoRoom)
    }

    /// Takes an attempt that the worker lists. Returns whether its figure was renewed.
    fn adopt(&mut self, row: Listed, now: Time) -> bool {
        let key = (row.task, row.attempt);
        let entry = self.runs.entry(key).or_insert_with(Entry::adopted);
        entry.is_listed = true;
        entry.confirm(now);
        entry.checkpoint = row.checkpoint;
        entry.done_percent = row.done_percent;
        entry.report(row.gauge, now)
    }

    fn finish(&mut self, end: End, now: Time) {
        if end.number <= self.ends_seen {
            return;
        }
        self.ends_seen = end.number;
        let entry = self.runs.remove(&(end.task, end.attempt));
        if entry.is_some_and(|entry| entry.uses_idle()) {
            self.disturb(now);
        }
        if end.number > self.acknowledged {
            self.ends.push(end);
        }
    }

    /// Concludes from a list that was asked for at `called_at` what is not on the worker.
    fn settle(&mut self, called_at: Time) {
        self.runs.retain(|_, entry| {
            let is_settled = entry.settled_at.is_some_and(|at| called_at >= at);
            if entry.is_listed || !is_settled {
                return true;
            }
            if entry.phase == Phase::Stopping {
                entry.phase = Phase::Rejected(Rejection::Stopped);
                return true;
            }
            matches!(entry.phase, Phase::Rejected(_))
        });
    }

    /// Forgets the pace of an attempt whose order to change it was not carried out.
    pub fn pace_failed(&mut self, task: Task, attempt: u64) {
        if let Some(entry) = self.runs.get_mut(&(task, attempt)) {
            // The next look orders a pace again unless the full speed is right.
            entry.pace = Entry::FULL_PACE;
        }
    }
}
