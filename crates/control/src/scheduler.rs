//! State of the owner that places the tasks of job graphs: jobs, attempts, hosts and their leases.
//!
//! The scheduler takes updates of agents and gives orders. Starts are not durable: the workers
//! list what they run, and a new owner rebuilds the running set from their updates. Only the
//! progress of jobs is recorded, and an end is acknowledged to its worker when it is recorded.

mod choice;
mod commit;
mod ending;
mod host;
mod intake;
mod job;
mod key;
mod lifecycle;
mod note;
mod orders;
mod placement;
mod pressure;
mod rank;
mod restored;
mod run;
mod settings;
mod stage;
mod task;

use std::collections::{BTreeMap, BTreeSet};

use foldhash::{HashMap, HashMapExt};
use slotmap::SlotMap;
use toucanquay_model::{
    Epoch, Time,
    graph::{AcceptedJob, Id, Queue, State},
};

use toucanquay_policy::pressure::Model;

pub use commit::Commit;
use host::Host;
use job::Job;
use key::{HostKey, JobKey, RunKey};
pub use note::Note;
pub use restored::Restored;
use run::Run;
pub use settings::Settings;

/// Attempts that one epoch can number: the epoch is the upper part of an attempt's number.
const ATTEMPTS_PER_EPOCH: u64 = 1 << 20;

/// Jobs, attempts and hosts of one owner.
#[derive(Debug)]
pub struct Scheduler {
    settings: Settings,
    epoch: Epoch,
    attempts: u64,
    hold_until: Time,
    unix_offset_micros: i128,
    queues: BTreeMap<String, Queue>,
    jobs: SlotMap<JobKey, Job>,
    ids: HashMap<Id, JobKey>,
    /// Cancellations that were seen before their job.
    cancelled: BTreeSet<Id>,
    hosts: SlotMap<HostKey, Host>,
    names: HashMap<String, HostKey>,
    runs: SlotMap<RunKey, Run>,
    model: Model,
    waiting: BTreeSet<JobKey>,
    timers: BTreeSet<(Time, JobKey)>,
    is_placement_due: bool,
    /// Hosts whose updates a new owner awaits before it restarts tasks of older jobs.
    awaited: BTreeSet<String>,
    certain_at: Time,
    unrecorded: BTreeSet<JobKey>,
    recording: Vec<(JobKey, u64)>,
    record_at: Time,
    sweep_at: Time,
    expired: Vec<Id>,
    notes: Vec<Note>,
}

impl Scheduler {
    /// Returns the scheduler of an owner that has just taken over.
    ///
    /// `hosts` are those to which the former owner may have given orders.
    #[must_use]
    pub fn new(
        settings: Settings,
        epoch: Epoch,
        hosts: impl IntoIterator<Item = String>,
        now: Time,
    ) -> Self {
        Self {
            settings,
            epoch,
            attempts: 0,
            hold_until: Time::ZERO,
            unix_offset_micros: 0,
            queues: BTreeMap::new(),
            jobs: SlotMap::with_key(),
            ids: HashMap::new(),
            cancelled: BTreeSet::new(),
            hosts: SlotMap::with_key(),
            names: HashMap::new(),
            runs: SlotMap::with_key(),
            model: Model::default(),
            waiting: BTreeSet::new(),
            timers: BTreeSet::new(),
            is_placement_due: true,
            awaited: hosts.into_iter().collect(),
            certain_at: settings.bound(now),
            unrecorded: BTreeSet::new(),
            recording: Vec::new(),
            record_at: Time::ZERO,
            sweep_at: Time::ZERO,
            expired: Vec::new(),
            notes: Vec::new(),
        }
    }

    /// Extends the owner's authority. Without it no order is given.
    pub const fn hold(&mut self, until: Time) {
        self.hold_until = until;
    }

    /// Sets the time of day that belongs to `now`.
    pub fn set_wall_clock(&mut self, unix_ms: u64, now: Time) {
        self.unix_offset_micros = i128::from(unix_ms) * 1_000 - i128::from(now.as_micros());
    }

    /// Takes the queues of a configuration. Queues that are gone keep serving their jobs.
    pub fn configure(&mut self, queues: impl IntoIterator<Item = (String, Queue)>) {
        self.queues.extend(queues);
        self.is_placement_due = true;
    }

    /// Takes a job that is durable. A repeat changes nothing.
    pub fn accept(&mut self, id: Id, acceptance: AcceptedJob, now: Time) {
        self.insert(id, acceptance, None, now);
    }

    /// Takes a job that was durable when the owner took over.
    pub fn restore(&mut self, id: Id, acceptance: AcceptedJob, restored: Restored, now: Time) {
        self.insert(id, acceptance, Some(restored), now);
    }

    /// Takes a cancellation that is durable.
    pub fn cancel(&mut self, id: Id, now: Time) {
        match self.ids.get(&id) {
            Some(key) => self.cancel_job(*key, now),
            None => {
                self.cancelled.insert(id);
            }
        }
    }

    /// Does what is due: leases that have ended, occurrences, placement.
    pub fn tick(&mut self, now: Time) {
        self.expire_hosts(now);
        self.fire_timers(now);
        if !self.awaited.is_empty() && now >= self.certain_at {
            self.awaited.clear();
            self.is_placement_due = true;
        }
        if self.is_placement_due {
            self.place(now);
        }
        if now >= self.sweep_at {
            self.sweep_at = now.plus_micros(self.settings.sweep_micros);
            self.sweep(now);
        }
    }

    /// Returns what was concluded since the last call.
    pub fn drain_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Returns the state of a job as far as it is durable.
    #[must_use]
    pub fn state(&self, id: Id) -> Option<State> {
        Some(self.jobs.get(*self.ids.get(&id)?)?.visible_state())
    }

    /// Returns the number of a queue's jobs of which no task has started.
    #[must_use]
    pub fn pending(&self, queue: &str) -> usize {
        let is_pending = |job: &&Job| job.queue == queue && job.state == State::Queued;
        self.jobs.values().filter(is_pending).count()
    }

    /// Returns the owner's epoch.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the number of attempts that are on workers or may be.
    #[must_use]
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Returns the number of jobs that are not over.
    #[must_use]
    pub fn active(&self) -> usize {
        self.jobs
            .values()
            .filter(|job| !job.state.is_over())
            .count()
    }

    /// Returns the time of day in milliseconds since 1970.
    fn unix_ms(&self, now: Time) -> u64 {
        let micros = i128::from(now.as_micros()) + self.unix_offset_micros;
        u64::try_from(micros / 1_000).unwrap_or(0)
    }

    fn time_of_unix_ms(&self, unix_ms: u64) -> Time {
        let micros = i128::from(unix_ms) * 1_000 - self.unix_offset_micros;
        Time::from_micros(u64::try_from(micros.max(0)).unwrap_or(u64::MAX))
    }

    const fn is_owner(&self, now: Time) -> bool {
        now.as_micros() < self.hold_until.as_micros()
    }

    fn is_certain(&self, now: Time) -> bool {
        self.awaited.is_empty() || now >= self.certain_at
    }
}
