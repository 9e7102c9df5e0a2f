//! Scheduler of job graphs: the owner's state of jobs, attempts, hosts and worker leases.
//!
//! An agent is the part of a companion that has a session with the owner; its state machine is
//! [`Runner`](crate::runner::Runner).
//!
//! The scheduler processes updates from agents and produces orders for them. Starts are not
//! durable: workers list the attempts that they run, and a new owner rebuilds the set of running
//! attempts from the agents' updates. Only the progress of jobs is persisted. The end of an attempt
//! is acknowledged to its worker after it has been persisted.

mod candidates;
mod choice;
mod commit;
mod copies;
mod copy_room;
mod copy_search;
mod crash_record;
mod crashes;
mod ending;
mod evacuation;
mod event;
mod gang_rack;
mod headroom;
mod host;
mod interference;
mod job;
mod key;
mod lack;
mod late_task;
mod learned;
mod lifecycle;
mod load;
mod locality;
mod loss;
mod orders;
mod placement;
mod probe;
mod probing;
mod rack_forecast;
mod rack_room;
mod rack_wait;
mod racks;
mod rank;
mod record_queue;
mod relocating;
mod relocation;
mod reserving;
mod restored;
mod run;
mod settings;
mod shortage;
mod slow_runs;
mod stage;
mod stage_ref;
mod straggling;
mod task;
mod updates;
mod wait;
mod waits;

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
};

use foldhash::{HashMap, HashMapExt};
use slotmap::{SecondaryMap, SlotMap};
use toucanquay_model::{
    Epoch, Time,
    graph::{AcceptedJob, Id, Queue, State},
};

use toucanquay_policy::{duration::Speed, image_interference::InterferenceModel};

pub use commit::Commit;
use copies::Copies;
use crash_record::CrashRecord;
use evacuation::Evacuations;
pub use event::Event;
use host::Host;
use job::Job;
use key::{HostKey, JobKey, RunKey};
pub use lack::Lack;
pub use load::Load;
pub use loss::Loss;
use probe::Probe;
use racks::Racks;
use record_queue::RecordQueue;
use relocation::Relocation;
pub use restored::RestoredJob;
use run::Run;
pub(crate) use settings::LEASE_MARGIN_MICROS;
pub use settings::Settings;
pub use toucanquay_policy::locality::{Bound, Reason};
pub use wait::Wait;

/// Change of the difference between the wall clock and the process's clock from which on timers are
/// set anew. Smaller ones are rounding, or corrections that hardly matter.
const CLOCK_JUMP_MICROS_MIN: u128 = 50_000;

/// Size of the range of attempt numbers of an epoch. An attempt number is the epoch times this
/// value plus a counter, so that a later owner's attempts have higher numbers. At 15,000 starts a
/// second an epoch may last for three days.
const ATTEMPTS_PER_EPOCH: u64 = 1 << 32;

/// Tracks the jobs, attempts and hosts of one owner and decides which task runs where.
#[derive(Debug)]
pub struct Scheduler {
    settings: Settings,
    epoch: Epoch,
    last_attempt: u64,
    ownership_until: Time,
    /// Wall-clock time since the Unix epoch minus the time on the process's clock.
    unix_offset_micros: i128,
    queues: BTreeMap<String, Queue>,
    jobs: SlotMap<JobKey, Job>,
    job_keys: HashMap<Id, JobKey>,
    /// Cancellations that arrived before their jobs, and when they are dropped.
    early_cancellations: BTreeMap<Id, Time>,
    hosts: SlotMap<HostKey, Host>,
    evacuations: Evacuations,
    host_keys: HashMap<String, HostKey>,
    runs: SlotMap<RunKey, Run>,
    interference: InterferenceModel,
    /// Speeds of the hosts whose workers have ended tasks.
    host_speeds: SecondaryMap<HostKey, Speed>,
    copies: Copies,
    /// When tasks on slow hosts are searched next.
    next_straggler_search_at: Time,
    waiting_jobs: BTreeSet<JobKey>,
    /// Probes by host.
    probes: BTreeMap<HostKey, Probe>,
    /// Hosts that are kept for perpetual tasks, by the job and the index of the stage that waits.
    reservations: BTreeMap<HostKey, (JobKey, usize)>,
    /// Move of a perpetual task that makes room for another one.
    relocation: Option<Relocation>,
    racks: Racks,
    /// Jobs that may have suspect tasks.
    suspect_jobs: BTreeSet<JobKey>,
    /// Number of tasks that one probe may start.
    probe_tasks_max: usize,
    /// Jobs with suspect tasks, and the versions that must be recorded before these are placed.
    unrecorded_suspects: Vec<(JobKey, u64)>,
    timers: BTreeSet<(Time, JobKey)>,
    is_placement_due: bool,
    /// Time of the next placement round if none is due before and tasks are waiting.
    next_placement_at: Time,
    /// Number of hosts that were scored for a stage so far.
    hosts_scored: Cell<u64>,
    /// Number of the last placement round.
    placement_round: u64,
    /// Hosts by the placement round that first saw their last change.
    changed_hosts: BTreeMap<u64, BTreeSet<HostKey>>,
    /// Hosts that may still run tasks of inherited jobs and have not reported yet, with the time by
    /// which each lease that a former owner has granted there must have ended. Until then, or until
    /// all have reported, no task of an inherited job is placed, because it may already be running.
    awaited_hosts: BTreeMap<String, Time>,
    taken_over_at: Time,
    /// Number of awaited hosts that had not reported when their leases must have ended.
    unreported_hosts: usize,
    is_takeover_reported: bool,
    /// Number of perpetual tasks that have not run for a time.
    lasting_tasks_waiting: usize,
    /// Time for which perpetual tasks have not run since it was last taken, in milliseconds, by the
    /// label of what they waited for.
    waited_ms: BTreeMap<&'static str, u64>,
    /// When perpetual tasks that don't run were last searched.
    waits_searched_at: Time,
    /// When perpetual tasks that don't run are searched next.
    next_waits_at: Time,
    unrecorded_jobs: RecordQueue,
    committing_jobs: Vec<(JobKey, u64)>,
    next_commit_at: Time,
    next_sweep_at: Time,
    expired_jobs: Vec<Id>,
    events: Vec<Event>,
}

impl Scheduler {
    /// Creates the scheduler of an owner that has just taken over.
    ///
    /// `hosts` are the hosts to which the former owner may have sent orders. Their leases must have
    /// ended when the longest possible one has that is granted until now, unless
    /// [`end_orders_by`](Self::end_orders_by) or [`end_leases_by`](Self::end_leases_by) tells more.
    #[must_use]
    pub fn new(
        settings: Settings,
        epoch: Epoch,
        hosts: impl IntoIterator<Item = String>,
        now: Time,
    ) -> Self {
        let lease_end = settings.lease_end_bound(now);
        let hosts = hosts.into_iter();
        let awaited_hosts: BTreeMap<String, Time> = hosts.map(|host| (host, lease_end)).collect();
        Self {
            settings,
            epoch,
            last_attempt: 0,
            ownership_until: Time::ZERO,
            unix_offset_micros: 0,
            queues: BTreeMap::new(),
            jobs: SlotMap::with_key(),
            job_keys: HashMap::new(),
            early_cancellations: BTreeMap::new(),
            hosts: SlotMap::with_key(),
            evacuations: Evacuations::default(),
            host_keys: HashMap::new(),
            runs: SlotMap::with_key(),
            interference: InterferenceModel::default(),
            host_speeds: SecondaryMap::new(),
            copies: Copies::default(),
            next_straggler_search_at: Time::ZERO,
            waiting_jobs: BTreeSet::new(),
            probes: BTreeMap::new(),
            reservations: BTreeMap::new(),
            relocation: None,
            racks: Racks::default(),
            suspect_jobs: BTreeSet::new(),
            probe_tasks_max: 1,
            unrecorded_suspects: Vec::new(),
            timers: BTreeSet::new(),
            is_placement_due: true,
            next_placement_at: Time::ZERO,
            hosts_scored: Cell::new(0),
            placement_round: 0,
            changed_hosts: BTreeMap::new(),
            is_takeover_reported: awaited_hosts.is_empty(),
            awaited_hosts,
            taken_over_at: now,
            unreported_hosts: 0,
            lasting_tasks_waiting: 0,
            waited_ms: BTreeMap::new(),
            waits_searched_at: now,
            next_waits_at: Time::ZERO,
            unrecorded_jobs: RecordQueue::new(),
            committing_jobs: Vec::new(),
            next_commit_at: Time::ZERO,
            next_sweep_at: Time::ZERO,
            expired_jobs: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Extends the ownership to the given time. The scheduler gives no orders from that time on.
    pub const fn extend_ownership(&mut self, until: Time) {
        self.ownership_until = until;
    }

    /// Sets the wall-clock time that corresponds to `now`.
    pub fn set_wall_clock(&mut self, unix_ms: u64, now: Time) {
        let offset_micros = i128::from(unix_ms) * 1_000 - i128::from(now.as_micros());
        let jump_micros = offset_micros.abs_diff(self.unix_offset_micros);
        self.unix_offset_micros = offset_micros;
        if jump_micros >= CLOCK_JUMP_MICROS_MIN {
            self.reset_timers();
        }
    }

    /// Adds or replaces the queues of a configuration. A queue that the configuration no longer
    /// contains is kept for the jobs that use it.
    pub fn configure(&mut self, queues: impl IntoIterator<Item = (String, Queue)>) {
        self.queues.extend(queues);
        let hosts: Vec<HostKey> = self.hosts.keys().collect();
        for key in hosts {
            self.mark_host_changed(key);
        }
        self.is_placement_due = true;
    }

    /// Adds a persisted job. Has no effect if the job is already known.
    pub fn accept(&mut self, id: Id, accepted_job: AcceptedJob, now: Time) {
        self.insert_job(id, accepted_job, None, now);
    }

    /// Adds a job that was persisted before the owner took over, with its recorded progress.
    pub fn restore(&mut self, id: Id, accepted_job: AcceptedJob, restored: RestoredJob, now: Time) {
        self.insert_job(id, accepted_job, Some(restored), now);
    }

    /// Applies a persisted cancellation. If the job is unknown, the cancellation is kept until the
    /// job arrives, but no longer than ended jobs are.
    pub fn cancel(&mut self, id: Id, now: Time) {
        match self.job_keys.get(&id) {
            Some(key) => self.cancel_job(*key, now),
            None => {
                let drop_at = now.plus_micros(self.settings.retention_micros);
                self.early_cancellations.insert(id, drop_at);
                self.events.push(Event::CancelledEarly { job: id });
            }
        }
    }

    /// Performs the work that is due: expires leases, starts occurrences, places tasks and removes
    /// old jobs.
    pub fn tick(&mut self, now: Time) {
        self.expire_hosts(now);
        self.expire_probes(now);
        self.fire_timers(now);
        self.release_awaited_hosts(now);
        self.report_outdated_evacuations(now);
        let is_round_due = !self.waiting_jobs.is_empty() && now >= self.next_placement_at;
        if self.is_placement_due || is_round_due {
            self.place_waiting_tasks(now);
        }
        self.copy_late_tasks(now);
        self.move_stragglers(now);
        self.report_waits(now);
        if now >= self.next_sweep_at {
            self.next_sweep_at = now.plus_micros(self.settings.sweep_interval_micros);
            self.sweep(now);
        }
    }

    /// Records that the former owner has sent no orders since a time, so that the leases on all
    /// awaited hosts end accordingly.
    pub fn end_orders_by(&mut self, until: Time) {
        let at = self.settings.lease_end_bound(until);
        for lease_end in self.awaited_hosts.values_mut() {
            *lease_end = at.min(*lease_end);
        }
    }

    /// Lowers the time by which each lease on an awaited host must have ended.
    pub fn end_leases_by(&mut self, host: &str, at: Time) {
        if let Some(lease_end) = self.awaited_hosts.get_mut(host) {
            *lease_end = at.min(*lease_end);
        }
    }

    /// Returns the time by which each lease on a host must have ended that this owner or a former
    /// one has granted so far.
    #[must_use]
    pub fn lease_end_bound(&self, host: &str) -> Time {
        let key = self.host_keys.get(host);
        let granted = key.map_or(Time::ZERO, |key| self.hosts[*key].lease_end_bound);
        let inherited = self.awaited_hosts.get(host).copied();
        granted.max(inherited.unwrap_or(Time::ZERO))
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns the state of a job. A final state is returned only after it has been persisted,
    /// except for a cancellation.
    #[must_use]
    pub fn job_state(&self, id: Id) -> Option<State> {
        Some(self.jobs.get(*self.job_keys.get(&id)?)?.visible_state())
    }

    /// Returns the number of jobs in a queue none of whose tasks has started.
    #[must_use]
    pub fn queued_jobs(&self, queue: &str) -> usize {
        let is_pending = |job: &&Job| job.queue == queue && job.state == State::Queued;
        self.jobs.values().filter(is_pending).count()
    }

    /// Returns the owner's epoch.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the number of attempts that are or may be on a worker.
    #[must_use]
    pub fn running_attempts(&self) -> usize {
        self.runs.len()
    }

    /// Returns the number of jobs that have not ended.
    #[must_use]
    pub fn active_jobs(&self) -> usize {
        self.jobs
            .values()
            .filter(|job| !job.state.is_over())
            .count()
    }

    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    fn unix_ms(&self, now: Time) -> u64 {
        let micros = i128::from(now.as_micros()) + self.unix_offset_micros;
        u64::try_from(micros / 1_000).unwrap_or(0)
    }

    fn time_of_unix_ms(&self, unix_ms: u64) -> Time {
        let micros = i128::from(unix_ms) * 1_000 - self.unix_offset_micros;
        Time::from_micros(u64::try_from(micros.max(0)).unwrap_or(u64::MAX))
    }

    const fn is_owner(&self, now: Time) -> bool {
        now.as_micros() < self.ownership_until.as_micros()
    }

    fn is_takeover_complete(&self, now: Time) -> bool {
        self.awaited_hosts
            .values()
            .all(|lease_end| now >= *lease_end)
    }

    /// Stops waiting for the hosts whose leases must have ended.
    fn release_awaited_hosts(&mut self, now: Time) {
        let awaited = self.awaited_hosts.len();
        self.awaited_hosts.retain(|_, lease_end| now < *lease_end);
        let released = awaited - self.awaited_hosts.len();
        self.unreported_hosts += released;
        self.is_placement_due |= released > 0;
    }
}
