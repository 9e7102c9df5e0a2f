//! Simulation of owners, companions, workers and a store in one process, with random faults.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use toucanquay_control::{
    runner::{self, Action, AttemptList, CallOutcome, Heartbeat, Runner},
    scheduler::{self, RestoredJob, Scheduler},
    silence::{Record, Tracker, Unreached},
};
use toucanquay_model::{
    Time,
    graph::{Id, Progress, State, Step, Task},
    session::{Ending, Orders, Start, Stop, Update},
};

use super::{accepted_job, at, cores, queue, step, watch::Watch, worker::SimulatedWorker};

/// Time from the restart of an agent until it hears from its worker, in milliseconds.
const ANNOUNCEMENT_DELAY_MS: u64 = 500;

/// Simulated time per step, in milliseconds.
const STEP_MS: u64 = 10;

/// Maximum time until all attempts of ended jobs have stopped when no faults occur, in
/// milliseconds.
const STOP_MS_MAX: u64 = 3_000;

/// Timeout of a call to a worker, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Time after which a refused request for a list is repeated, in milliseconds.
const LIST_RETRY_MS: u64 = 150;

/// Time for which the address of a worker that lives refuses connections, in milliseconds. Agents
/// can't tell a longer one from an exit.
const REFUSAL_MS_MAX: u64 = 590;

/// Time for which a worker answers until its address refuses connections again, in milliseconds.
const REFUSAL_PAUSE_MS: u64 = 1_000;

/// Time for which an owner may act after its last renewal, in milliseconds.
const OWNERSHIP_MS: u64 = 1_600;

/// Time since the last renewal after which another owner takes over, in milliseconds.
const TAKEOVER_MS: u64 = 2_000;

/// Processors of a worker.
const PROCESSORS: u32 = 16;

/// Time from the start of a task that crashes its worker until the crash, in milliseconds.
const CRASH_DELAY_MS: u64 = 10;

/// Number of crashes under a task after which it may be given up.
const CRASHES_MIN: usize = 2;

/// Number of crashes under a task after which it may be started only [`STARTS_MAX`] times more.
const CRASHES_MAX: usize = 3;

/// Number of starts of a task after [`CRASHES_MAX`] workers have crashed under it.
const STARTS_MAX: usize = 2;

/// Longest time for which a fault or a late call lasts, in milliseconds.
const LATE_MS_MAX: u64 = 15_000;

/// Number of jobs with perpetual tasks that fit beside each other, if each task has
/// [`FITTING_PROCESSORS`] at most.
const FITTING_JOBS: usize = 4;

/// See [`FITTING_JOBS`].
const FITTING_PROCESSORS: u32 = 4;

/// Number of jobs with perpetual tasks, if the tasks are larger.
const CROWDED_JOBS: usize = 15;

/// Time without faults after which all perpetual tasks run, in milliseconds.
const PERPETUAL_MS_MAX: u64 = 30_000;

/// Probability that a busy worker turns a call away, in percent.
const TURNED_AWAY_PERCENT: u32 = 60;

/// Time after which the owner notices that an agent is silent, in milliseconds.
const SESSION_TIMEOUT_MS: u64 = 1_500;

/// Interval at which an entry sees the store change, in milliseconds.
const SIGHTING_INTERVAL_MS: u64 = 500;

/// Time that a write of the record of silent hosts takes, in milliseconds.
const WRITE_MS: u64 = 50;

/// Length of a phase without faults, in milliseconds.
const CALM_MS: u64 = 16_000;

/// Maximum number of jobs with perpetual tasks at a time.
const LASTING_JOBS_MAX: usize = 3;

/// Message in flight between the owner and an agent.
#[derive(Debug, Clone)]
enum Message {
    Orders(Orders),
    Update(Box<Update>),
}

/// Call from an agent to its worker, or the reply, in flight.
#[derive(Debug, Clone)]
enum Call {
    Start(Start, Time, u64),
    Stop(Stop, u64),
    Started(Task, u64, CallOutcome),
    Stopped(Task, u64, CallOutcome),
    Listed(AttemptList),
}

/// Simulated host with an agent and a worker.
#[derive(Debug)]
struct Host {
    name: String,
    process: u64,
    runner: Runner,
    worker: SimulatedWorker,
    calls: Vec<(Time, u64, Call)>,
    messages: VecDeque<(Time, Message)>,
    /// Epoch of the owner with which the agent has a session.
    session: Option<u64>,
    /// Since when the owner can't reach the agent.
    unreached_since: Option<u64>,
    partitioned_until: Time,
    /// Until then, the worker turns most calls away without doing anything.
    busy_until: Time,
    /// Until then, the worker answers no call, and runs on. Calls take effect afterwards.
    silent_until: Time,
    /// Until then, the worker's address refuses connections.
    refuses_until: Time,
    /// Until then, there is no worker process.
    absent_until: Time,
    /// Until then, the whole host is gone, with its agent and its worker.
    lost_until: Time,
    /// Until then, the agent's process is suspended.
    suspended_until: Time,
    /// Until then, one row of each list of the worker can't be read.
    odd_until: Time,
    /// When a task that crashes the worker does so.
    crash_at: Time,
    next_heartbeat_at: Time,
    next_list_at: Time,
    next_update_at: Time,
}

/// Returns the record of silent hosts before the first one is written.
const fn no_silence() -> Record {
    Record {
        revision: 0,
        remaining_ms: BTreeMap::new(),
    }
}

/// Job as persisted in the store.
#[derive(Debug, Default)]
struct JobRecord {
    steps: Vec<Step>,
    progress: Progress,
    revision: u64,
    is_cancelled: bool,
    /// Task that crashes each worker that starts it.
    deadly_task: Option<Task>,
}

impl JobRecord {
    fn is_lasting(&self) -> bool {
        self.steps.iter().any(|step| step.is_perpetual)
    }
}

/// State of a simulation.
#[derive(Debug)]
pub struct Simulation {
    rng: StdRng,
    /// Random numbers for busy workers and deadly tasks; `None` if there are none.
    fault_rng: Option<StdRng>,
    /// Random numbers for silent workers; `None` if there are none.
    silence_rng: Option<StdRng>,
    /// Random numbers for perpetual jobs; `None` if there are none.
    perpetual_rng: Option<StdRng>,
    /// Random numbers for workers whose addresses refuse connections; `None` if there are none.
    refusal_rng: Option<StdRng>,
    /// Random numbers for perpetual tasks and the faults that occur beside them; `None` if there are
    /// none.
    lasting_rng: Option<StdRng>,
    /// Maximum number of processors of a task of a perpetual job.
    perpetual_processors_max: u32,
    watch: Watch,
    /// What the owner knows of the record of silent hosts.
    tracker: Tracker,
    /// The record of silent hosts, and when it was written.
    silence_record: (u64, Record),
    /// The record that the owner writes, and when it arrives.
    silence_write: Option<(u64, Record)>,
    /// When the owner is lost once more.
    owner_lost_at: u64,
    /// Interval at which workers announce themselves, in milliseconds.
    heartbeat_millis: u64,
    now_ms: u64,
    epoch: u64,
    owner: Option<Scheduler>,
    renewed_at: u64,
    paused_until: u64,
    commit: Option<(u64, scheduler::Commit)>,
    hosts: Vec<Host>,
    jobs: BTreeMap<Id, JobRecord>,
    revision: u64,
    done_tasks: BTreeSet<Task>,
    failure_counts: BTreeMap<Task, u32>,
    /// Time that a call takes to the worker unless it is late, in milliseconds.
    call_millis: u64,
    /// Workers that have crashed while they ran each task, or had an end of it that was not
    /// acknowledged.
    crash_counts: BTreeMap<Task, usize>,
    /// Starts of deadly tasks after too many workers have crashed under them.
    late_starts: BTreeMap<Task, usize>,
    is_fault_free: bool,
    /// Number of injected faults.
    pub faults: u64,
    /// Number of attempts that workers were told to start.
    pub starts: u64,
    /// Number of stops that busy workers turned away.
    pub stops_turned_away: u64,
    /// Number of times that a worker fell silent.
    pub silences: u64,
    /// Number of times that a worker's address began to refuse connections.
    pub refusals: u64,
    /// Number of workers that deadly tasks crashed.
    pub deadly_crashes: u64,
    /// Number of perpetual tasks that were moved to make room.
    pub moves: u64,
}

impl Simulation {
    /// Creates a simulation with hosts and no jobs.
    pub fn new(seed: u64, hosts: u64) -> Self {
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            fault_rng: None,
            silence_rng: None,
            lasting_rng: None,
            perpetual_rng: None,
            perpetual_processors_max: 0,
            refusal_rng: None,
            watch: Watch::default(),
            tracker: Tracker::default(),
            silence_record: (0, no_silence()),
            silence_write: None,
            owner_lost_at: u64::MAX,
            heartbeat_millis: 0,
            now_ms: 0,
            epoch: 0,
            owner: None,
            renewed_at: 0,
            paused_until: 0,
            commit: None,
            hosts: Vec::new(),
            jobs: BTreeMap::new(),
            revision: 10,
            done_tasks: BTreeSet::new(),
            failure_counts: BTreeMap::new(),
            call_millis: 3,
            crash_counts: BTreeMap::new(),
            late_starts: BTreeMap::new(),
            is_fault_free: false,
            faults: 0,
            starts: 0,
            stops_turned_away: 0,
            silences: 0,
            refusals: 0,
            deadly_crashes: 0,
            moves: 0,
        };
        for number in 0..hosts {
            simulation.hosts.push(simulation.host(
                format!("h{number}"),
                1_000,
                SimulatedWorker::new(1),
            ));
        }
        simulation
    }

    /// Makes workers busy from time to time, and lets some tasks crash their workers.
    pub fn with_busy_workers_and_deadly_tasks(mut self, seed: u64) -> Self {
        self.fault_rng = Some(StdRng::seed_from_u64(!seed));
        self
    }

    /// Adds workers that are silent for some time.
    pub fn with_silent_workers(mut self, seed: u64) -> Self {
        self.silence_rng = Some(StdRng::seed_from_u64(!seed));
        self
    }

    /// Adds jobs with tasks that run until they are cancelled, with up to so many processors each.
    pub fn with_perpetual_jobs(mut self, seed: u64, processors_max: u32) -> Self {
        self.perpetual_rng = Some(StdRng::seed_from_u64(!seed));
        self.perpetual_processors_max = processors_max;
        self
    }

    /// Adds perpetual tasks, and faults of whole hosts, suspended agents, lists with odd rows and
    /// owners that are lost one after another.
    pub fn with_lasting_tasks(mut self, seed: u64) -> Self {
        self.lasting_rng = Some(StdRng::seed_from_u64(!seed));
        self
    }

    /// Adds workers whose addresses refuse connections for some time, for a moment while they live or
    /// because they have ended. Some end together with their agents.
    pub fn with_refusing_workers(mut self, seed: u64) -> Self {
        self.refusal_rng = Some(StdRng::seed_from_u64(!seed));
        self
    }

    /// Lets workers announce themselves at an interval, in milliseconds.
    pub const fn with_heartbeat_millis(mut self, millis: u64) -> Self {
        self.heartbeat_millis = millis;
        self
    }

    /// Lets each call to a worker take some time, in milliseconds.
    pub const fn with_call_millis(mut self, millis: u64) -> Self {
        self.call_millis = millis;
        self
    }

    /// Simulates `millis` with new jobs and faults, and then continues without faults until all
    /// jobs have ended.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is violated.
    pub fn run(&mut self, millis: u64) {
        while self.now_ms < millis {
            // Otherwise, perpetual tasks are to be in the way of each other for long.
            let has_batch_jobs = self.perpetual_processors_max <= FITTING_PROCESSORS;
            if has_batch_jobs && self.rng.random_range(0..20) == 0 {
                self.submit_job();
            }
            if has_batch_jobs && self.rng.random_range(0..40) == 0 {
                self.cancel_random_job();
            }
            self.submit_perpetual_job();
            self.inject_fault();
            self.inject_lasting_fault();
            self.occupy_worker();
            self.silence_worker();
            self.refuse_connections();
            self.advance();
        }
        self.finish();
    }

    /// Simulates phases with and without faults. In those without, each perpetual task must run
    /// again as soon as the users' rule demands.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is violated.
    pub fn run_phases(&mut self, phases: usize) {
        for _ in 0..phases {
            let faults_ms = self.rng.random_range(500..8_000);
            self.run_phase(faults_ms, false);
            self.run_phase(CALM_MS, true);
        }
        let ids: Vec<Id> = self.jobs.keys().copied().collect();
        for id in ids {
            self.cancel_job(id);
        }
        self.finish();
    }

    fn run_phase(&mut self, millis: u64, is_fault_free: bool) {
        self.is_fault_free = is_fault_free;
        let phase_end = self.now_ms + millis;
        while self.now_ms < phase_end {
            if self.rng.random_range(0..60) == 0 {
                self.submit_job();
            }
            self.submit_lasting_job();
            if self.rng.random_range(0..200) == 0 {
                self.cancel_random_job();
            }
            if !is_fault_free {
                self.inject_fault();
                self.inject_lasting_fault();
                self.occupy_worker();
                self.silence_worker();
            }
            self.advance();
            self.watch_lasting_tasks();
        }
    }

    /// Continues without faults until all jobs have ended.
    fn finish(&mut self) {
        self.is_fault_free = true;
        self.await_perpetual_tasks();
        let end_by = self.now_ms + 60_000;
        while !self.all_jobs_ended() {
            assert!(
                self.now_ms < end_by,
                "jobs did not end in time: {}",
                self.unfinished_jobs()
            );
            self.advance();
        }
        let stopped_by = self.now_ms + STOP_MS_MAX;
        while self.now_ms < stopped_by {
            self.advance();
        }
        self.check_stopped();
        self.check_records();
        self.check_failed();
    }

    fn time(&self) -> Time {
        at(self.now_ms)
    }

    fn host(&self, name: String, process: u64, worker: SimulatedWorker) -> Host {
        let settings =
            runner::Settings::new(name.clone(), process, 6_000_000).started_at(self.time());
        Host {
            runner: Runner::new(settings),
            name,
            process,
            worker,
            calls: Vec::new(),
            messages: VecDeque::new(),
            session: None,
            unreached_since: None,
            partitioned_until: Time::ZERO,
            busy_until: Time::ZERO,
            silent_until: Time::ZERO,
            refuses_until: Time::ZERO,
            absent_until: Time::ZERO,
            lost_until: Time::ZERO,
            suspended_until: Time::ZERO,
            odd_until: Time::ZERO,
            crash_at: Time::NEVER,
            next_heartbeat_at: Time::ZERO,
            next_list_at: Time::ZERO,
            next_update_at: Time::ZERO,
        }
    }

    /// Waits until the last faults are over and all perpetual tasks run, if they fit, and then cancels their jobs.
    fn await_perpetual_tasks(&mut self) {
        if self.perpetual_rng.is_none() {
            return;
        }
        let calm_at = self.now_ms + LATE_MS_MAX;
        while self.now_ms < calm_at {
            self.advance();
        }
        let run_by = self.now_ms + PERPETUAL_MS_MAX;
        let is_fitting = self.perpetual_processors_max <= FITTING_PROCESSORS;
        while let Some(task) = self.missing_perpetual_task() {
            if self.now_ms >= run_by {
                assert!(!is_fitting, "{task} doesn't run");
                break;
            }
            self.advance();
        }
        let is_perpetual = |(_, record): &(&Id, &JobRecord)| record.steps[0].is_perpetual;
        let jobs = self.jobs.iter().filter(is_perpetual);
        for id in jobs.map(|(id, _)| *id).collect::<Vec<Id>>() {
            self.cancel_job(id);
        }
    }

    /// Returns a task of a perpetual job that has no attempt on a worker.
    fn missing_perpetual_task(&self) -> Option<Task> {
        let running = self
            .hosts
            .iter()
            .flat_map(|host| host.worker.running.keys());
        let running: BTreeSet<Task> = running.map(|(task, _)| *task).collect();
        let is_lasting = |record: &JobRecord| {
            let is_over = record.is_cancelled || record.progress.state.is_over();
            record.steps[0].is_perpetual && !is_over
        };
        let lasting = self.jobs.iter().filter(|(_, record)| is_lasting(record));
        let mut tasks = lasting.flat_map(|(id, record)| {
            (0..record.steps[0].tasks).map(|index| Task {
                job: *id,
                occurrence: 0,
                step: 0,
                index,
            })
        });
        tasks.find(|task| !running.contains(task))
    }

    /// Submits a job with perpetual tasks from time to time, unless there are many already.
    fn submit_perpetual_job(&mut self) {
        let Some(rng) = &mut self.perpetual_rng else {
            return;
        };
        let active = self.jobs.values().filter(|record| {
            let is_over = record.is_cancelled || record.progress.state.is_over();
            record.steps[0].is_perpetual && !is_over
        });
        let jobs_max = if self.perpetual_processors_max <= FITTING_PROCESSORS {
            FITTING_JOBS
        } else {
            CROWDED_JOBS
        };
        if rng.random_range(0..60) != 0 || active.count() >= jobs_max {
            return;
        }
        let id = Id::new(rng.random());
        let perpetual = Step {
            is_perpetual: true,
            demand: cores(rng.random_range(1..=self.perpetual_processors_max)),
            ..step(rng.random_range(1..3))
        };
        let is_deadly = rng.random_range(0..8) == 0;
        let deadly_task = is_deadly.then_some(Task {
            job: id,
            occurrence: 0,
            step: 0,
            index: 0,
        });
        let record = JobRecord {
            deadly_task,
            steps: vec![perpetual.clone()],
            ..JobRecord::default()
        };
        self.jobs.insert(id, record);
        let now = self.time();
        if let Some(owner) = &mut self.owner {
            owner.accept(id, accepted_job(vec![perpetual]), now);
        }
    }

    fn submit_job(&mut self) {
        let id = Id::new(self.rng.random());
        let second = Step {
            after: [0].into_iter().collect(),
            ..step(self.rng.random_range(1..4))
        };
        let steps = vec![step(self.rng.random_range(1..6)), second];
        let record = JobRecord {
            deadly_task: self.random_deadly_task(id),
            steps: steps.clone(),
            ..JobRecord::default()
        };
        self.jobs.insert(id, record);
        let now = self.time();
        if let Some(owner) = &mut self.owner {
            owner.accept(id, accepted_job(steps), now);
        }
    }

    /// Returns the first task of one of the steps of a few jobs.
    fn random_deadly_task(&mut self, job: Id) -> Option<Task> {
        let rng = self.fault_rng.as_mut()?;
        (rng.random_range(0..25) == 0).then(|| Task {
            job,
            occurrence: 0,
            step: rng.random_range(0..2),
            index: 0,
        })
    }

    /// Cancels a random job that has not ended.
    fn cancel_random_job(&mut self) {
        let active = self
            .jobs
            .iter()
            .filter(|(_, record)| !record.progress.state.is_over());
        let active: Vec<Id> = active.map(|(id, _)| *id).collect();
        if active.is_empty() {
            return;
        }
        let id = active[self.rng.random_range(0..active.len())];
        self.cancel_job(id);
    }

    fn cancel_job(&mut self, id: Id) {
        self.jobs.get_mut(&id).expect("the job exists").is_cancelled = true;
        let now = self.time();
        if let Some(owner) = &mut self.owner {
            owner.cancel(id, now);
        }
    }

    fn inject_fault(&mut self) {
        if self.rng.random_range(0..60) != 0 {
            return;
        }
        self.faults += 1;
        let index = self.rng.random_range(0..self.hosts.len());
        match self.rng.random_range(0..6) {
            0 => self.owner = None,
            1 => self.paused_until = self.now_ms + self.rng.random_range(100..5_000),
            2 => self.restart_agent(index),
            3 => self.restart_worker(index),
            4 => {
                let millis = self.rng.random_range(100..9_000);
                self.hosts[index].partitioned_until = at(self.now_ms + millis);
            }
            _ => self.hosts[index].session = None,
        }
    }

    /// Submits a job with perpetual tasks unless there are enough.
    fn submit_lasting_job(&mut self) {
        let is_active = |record: &&JobRecord| record.is_lasting() && !record.is_cancelled;
        if self.jobs.values().filter(is_active).count() >= LASTING_JOBS_MAX {
            return;
        }
        let Some(rng) = &mut self.lasting_rng else {
            return;
        };
        let id = Id::new(rng.random());
        let steps = vec![Step {
            is_perpetual: true,
            ..step(rng.random_range(1..4))
        }];
        let record = JobRecord {
            steps: steps.clone(),
            ..JobRecord::default()
        };
        self.jobs.insert(id, record);
        let now = self.time();
        if let Some(owner) = &mut self.owner {
            owner.accept(id, accepted_job(steps), now);
        }
    }

    fn inject_lasting_fault(&mut self) {
        let now_ms = self.now_ms;
        let hosts = self.hosts.len();
        let is_lost = |host: &Host| at(now_ms) < host.lost_until;
        let lost = self.hosts.iter().filter(|host| is_lost(host)).count();
        let Some(rng) = &mut self.lasting_rng else {
            return;
        };
        if rng.random_range(0..80) != 0 {
            return;
        }
        self.faults += 1;
        let index = rng.random_range(0..hosts);
        let until = |millis: u64| at(now_ms + millis);
        match rng.random_range(0..4) {
            0 if lost == 0 => {
                let millis = rng.random_range(500..60_000);
                self.lose_host(index, until(millis));
            }
            1 => self.hosts[index].suspended_until = until(rng.random_range(100..12_000)),
            2 => self.hosts[index].odd_until = until(rng.random_range(100..6_000)),
            _ => {
                self.owner = None;
                self.owner_lost_at = now_ms + TAKEOVER_MS + rng.random_range(10..5_000);
            }
        }
    }

    /// Ends a host's processes until it returns with other ones.
    fn lose_host(&mut self, index: usize, until: Time) {
        let session = self.hosts[index].session;
        self.replace_worker(index);
        self.restart_agent(index);
        self.hosts[index].session = session;
        let host = &mut self.hosts[index];
        host.calls.clear();
        host.lost_until = until;
        host.next_update_at = at(self.now_ms);
        host.next_heartbeat_at = until;
    }

    /// Compares what runs with what the users' rule demands.
    fn watch_lasting_tasks(&mut self) {
        let now = self.time();
        let is_disturbed = |host: &Host| now < host.partitioned_until.max(host.suspended_until);
        let is_calm = self.is_fault_free
            && self.now_ms >= self.paused_until
            && self.owner_lost_at == u64::MAX
            && !self.hosts.iter().any(is_disturbed);
        let lasting = self.jobs.iter().filter(|(_, record)| {
            record.is_lasting() && !record.is_cancelled && !record.progress.state.is_over()
        });
        let tasks = lasting.flat_map(|(id, record)| {
            (0..record.steps[0].tasks).map(|index| Task {
                job: *id,
                occurrence: 0,
                step: 0,
                index,
            })
        });
        let tasks: BTreeSet<Task> = tasks.collect();
        let alive = self.hosts.iter().filter(|host| now >= host.lost_until);
        let workers: Vec<_> = alive
            .map(|host| {
                let running = host.worker.running.keys().map(|(task, _)| *task);
                let running: BTreeSet<Task> = running.collect();
                (host.name.as_str(), running)
            })
            .collect();
        self.watch.check(&tasks, &workers, is_calm, self.now_ms);
    }

    /// Makes a random worker busy for some time.
    fn occupy_worker(&mut self) {
        let Some(rng) = &mut self.fault_rng else {
            return;
        };
        if rng.random_range(0..150) != 0 {
            return;
        }
        let index = rng.random_range(0..self.hosts.len());
        let millis = rng.random_range(500..6_000);
        self.hosts[index].busy_until = at(self.now_ms + millis);
    }

    /// Makes a random worker silent for some time, often for longer than its lease.
    fn silence_worker(&mut self) {
        let Some(rng) = &mut self.silence_rng else {
            return;
        };
        if rng.random_range(0..200) != 0 {
            return;
        }
        let index = rng.random_range(0..self.hosts.len());
        let millis = rng.random_range(500..15_000);
        self.hosts[index].silent_until = at(self.now_ms + millis);
        self.silences += 1;
    }

    /// Lets the address of a random worker refuse connections for some time.
    fn refuse_connections(&mut self) {
        let Some(rng) = &mut self.refusal_rng else {
            return;
        };
        if rng.random_range(0..150) != 0 {
            return;
        }
        let index = rng.random_range(0..self.hosts.len());
        let is_alive = rng.random_bool(0.4);
        let is_agent_restarted = rng.random_bool(0.4);
        let millis = match is_alive {
            true => rng.random_range(50..REFUSAL_MS_MAX),
            false => rng.random_range(100..5_000),
        };
        if self.time()
            < self.hosts[index]
                .refuses_until
                .plus_millis(REFUSAL_PAUSE_MS)
        {
            return;
        }
        self.refusals += 1;
        let until = at(self.now_ms + millis);
        if !is_alive {
            self.replace_worker(index);
            self.hosts[index].absent_until = until;
        }
        self.hosts[index].refuses_until = until;
        if !is_alive && is_agent_restarted {
            self.restart_agent(index);
        }
    }

    fn is_refusing(&self, index: usize) -> bool {
        self.time() < self.hosts[index].refuses_until
    }

    fn is_silent(&self, index: usize) -> bool {
        !self.is_fault_free && self.time() < self.hosts[index].silent_until
    }

    /// Leaves a call unanswered, and carries it out when the worker is no longer silent.
    fn postpone_call(&mut self, index: usize, call: Call) {
        let unanswered = match &call {
            Call::Start(start, ..) => {
                Call::Started(start.task, start.attempt, CallOutcome::Unknown)
            }
            Call::Stop(stop, _) => Call::Stopped(stop.task, stop.attempt, CallOutcome::Unknown),
            _ => return,
        };
        self.schedule_call(index, CALL_TIMEOUT_MS, unanswered);
        let until = self.hosts[index].silent_until.as_micros();
        let millis = until.saturating_sub(self.time().as_micros()) / 1_000;
        self.schedule_call(index, millis + 1, call);
    }

    /// Returns whether a worker turns a call away.
    fn is_turned_away(&mut self, index: usize) -> bool {
        let is_busy = !self.is_fault_free && self.time() < self.hosts[index].busy_until;
        let mut rng = self.fault_rng.as_mut().filter(|_| is_busy);
        rng.as_mut()
            .is_some_and(|rng| rng.random_range(0..100) < TURNED_AWAY_PERCENT)
    }

    fn restart_agent(&mut self, index: usize) {
        let (name, process) = (self.hosts[index].name.clone(), self.new_incarnation());
        let worker = self.hosts[index].worker.clone();
        let mut host = Host {
            busy_until: self.hosts[index].busy_until,
            silent_until: self.hosts[index].silent_until,
            refuses_until: self.hosts[index].refuses_until,
            absent_until: self.hosts[index].absent_until,
            lost_until: self.hosts[index].lost_until,
            odd_until: self.hosts[index].odd_until,
            crash_at: self.hosts[index].crash_at,
            next_heartbeat_at: at(self.now_ms + ANNOUNCEMENT_DELAY_MS),
            ..self.host(name, process, worker)
        };
        // Calls in flight still reach the worker, but their replies are lost.
        let is_request = |call: &Call| matches!(call, Call::Start(..) | Call::Stop(..));
        let calls = std::mem::take(&mut self.hosts[index].calls);
        host.calls = calls
            .into_iter()
            .filter(|(_, _, call)| is_request(call))
            .collect();
        self.hosts[index] = host;
    }

    /// Returns the incarnation of a process that starts now.
    const fn new_incarnation(&self) -> u64 {
        1_000 + self.now_ms
    }

    fn restart_worker(&mut self, index: usize) {
        self.replace_worker(index);
        self.hosts[index].runner.mark_worker_exited();
    }

    /// Ends the worker's process with all its attempts, and starts another one.
    fn replace_worker(&mut self, index: usize) {
        let incarnation = self.new_incarnation();
        let host = &mut self.hosts[index];
        let begun = host.worker.running.keys().map(|(task, _)| *task);
        // The agent can't tell an attempt that had just ended.
        let begun = begun.chain(host.worker.unacknowledged_ends().map(|end| end.task));
        for task in begun.collect::<BTreeSet<Task>>() {
            *self.crash_counts.entry(task).or_default() += 1;
        }
        host.worker = SimulatedWorker::new(incarnation);
        host.calls.clear();
        host.crash_at = Time::NEVER;
    }

    /// Crashes a worker if it has started a deadly task. The agent notices the crash, or only the
    /// next process.
    fn crash_worker(&mut self, index: usize) {
        if self.time() < self.hosts[index].crash_at {
            return;
        }
        self.deadly_crashes += 1;
        let is_noticed = self
            .fault_rng
            .as_mut()
            .is_some_and(|rng| rng.random_bool(0.5));
        if is_noticed {
            self.restart_worker(index);
        } else {
            self.replace_worker(index);
        }
    }

    /// Lets an attempt of a perpetual task run until it is stopped.
    fn prolong_perpetual_task(&mut self, index: usize, key: (Task, u64)) {
        let is_perpetual =
            self.perpetual_rng.is_some() && self.jobs[&key.0.job].steps[0].is_perpetual;
        let running = &mut self.hosts[index].worker.running;
        if let Some(attempt) = running.get_mut(&key).filter(|_| is_perpetual) {
            attempt.done_at = Time::NEVER;
        }
    }

    /// Counts the start of a deadly task, which will crash the worker.
    fn start_deadly_task(&mut self, index: usize, task: Task) {
        if self.jobs[&task.job].deadly_task != Some(task) {
            return;
        }
        let due = at(self.now_ms + CRASH_DELAY_MS);
        let host = &mut self.hosts[index];
        host.crash_at = host.crash_at.min(due);
        if self.crash_counts.get(&task).copied().unwrap_or(0) >= CRASHES_MAX {
            let starts = self.late_starts.entry(task).or_default();
            *starts += 1;
            assert!(
                *starts <= STARTS_MAX,
                "{task} is started again after {CRASHES_MAX} workers have crashed under it"
            );
        }
    }

    fn advance(&mut self) {
        self.now_ms += STEP_MS;
        self.elect_owner();
        for index in 0..self.hosts.len() {
            if self.time() < self.hosts[index].lost_until {
                self.notice_silence(index);
                continue;
            }
            self.run_worker(index);
            if self.time() < self.hosts[index].suspended_until {
                self.notice_silence(index);
                continue;
            }
            self.run_agent(index);
        }
        self.run_owner();
        self.check_workers();
    }

    /// Ends the session with an agent that has been silent for long enough.
    fn notice_silence(&mut self, index: usize) {
        let (now, now_ms) = (self.time(), self.now_ms);
        let host = &mut self.hosts[index];
        let is_of_owner = host.session == self.owner.as_ref().map(Scheduler::epoch);
        if is_of_owner && now < host.next_update_at.plus_millis(SESSION_TIMEOUT_MS) {
            return;
        }
        host.session = None;
        host.unreached_since.get_or_insert(now_ms);
        if let Some(owner) = &mut self.owner {
            owner.disconnect(&host.name);
        }
    }

    /// Tells a new owner which hosts its predecessors didn't hear.
    fn load_silences(&mut self, owner: &mut Scheduler) -> Tracker {
        // The former owner's write is fenced from now on.
        self.silence_write = None;
        let (written_at, record) = &self.silence_record;
        let seen_at = written_at.next_multiple_of(SIGHTING_INTERVAL_MS);
        let seen_at = seen_at.min(self.now_ms);
        for (name, remaining_ms) in &record.remaining_ms {
            owner.end_leases_by(name, at(seen_at + remaining_ms));
        }
        Tracker::new(record.revision, record.remaining_ms.keys().cloned())
    }

    /// Writes the record of silent hosts, which may arrive after its owner is lost.
    fn write_silences(&mut self) {
        let Some((_, record)) = self.silence_write.take_if(|(due, _)| *due <= self.now_ms) else {
            return;
        };
        self.revision += 1;
        assert_eq!(
            record.revision, self.silence_record.1.revision,
            "a record replaces one of another revision"
        );
        let written = Record {
            revision: self.revision,
            ..record
        };
        self.silence_record = (self.now_ms, written);
        self.tracker.record_written(self.revision);
    }

    fn record_silences(&mut self) {
        let Some(owner) = &self.owner else {
            return;
        };
        let unreached = self.hosts.iter().filter_map(|host| {
            Some(Unreached {
                host: host.name.clone(),
                since: at(host.unreached_since?),
                lease_end: owner.lease_end_bound(&host.name),
            })
        });
        let unreached: Vec<Unreached> = unreached.collect();
        let (hosts, now) = (self.hosts.len(), self.time());
        if let Some(record) = self.tracker.next_record(&unreached, hosts, now) {
            self.silence_write = Some((self.now_ms + WRITE_MS, record));
        }
    }

    fn elect_owner(&mut self) {
        if self.now_ms >= self.owner_lost_at {
            self.owner_lost_at = u64::MAX;
            self.owner = None;
        }
        let is_silent = self.owner.is_none() || self.now_ms < self.paused_until;
        if !is_silent {
            self.renewed_at = self.now_ms;
            if let Some(owner) = &mut self.owner {
                owner.extend_ownership(at(self.now_ms + OWNERSHIP_MS));
            }
            return;
        }
        if self.now_ms < self.renewed_at + TAKEOVER_MS {
            return;
        }
        self.paused_until = 0;
        let acted_until = at(self.renewed_at + OWNERSHIP_MS);
        self.renewed_at = self.now_ms;
        self.epoch += 1;
        self.commit = None;
        let now = self.time();
        let names = self.hosts.iter().map(|host| host.name.clone());
        let settings = scheduler::Settings::default();
        let mut owner = Scheduler::new(settings, self.epoch, names, now);
        owner.end_orders_by(acted_until.min(now));
        self.tracker = self.load_silences(&mut owner);
        owner.extend_ownership(at(self.now_ms + OWNERSHIP_MS));
        owner.set_wall_clock(5_000_000 + self.now_ms, now);
        for (id, record) in &self.jobs {
            let restored = RestoredJob {
                progress: record.progress.clone(),
                revision: record.revision,
            };
            owner.restore(*id, accepted_job(record.steps.clone()), restored, now);
            if record.is_cancelled {
                owner.cancel(*id, now);
            }
        }
        self.owner = Some(owner);
        for host in &mut self.hosts {
            host.session = None;
            host.unreached_since = None;
        }
    }

    fn run_worker(&mut self, index: usize) {
        self.crash_worker(index);
        let now = self.time();
        for (task, ending) in self.hosts[index].worker.advance(now) {
            if ending == Ending::Done {
                self.done_tasks.insert(task);
            } else {
                *self.failure_counts.entry(task).or_default() += 1;
            }
        }
        let mut calls = std::mem::take(&mut self.hosts[index].calls);
        calls.sort_by_key(|(due, number, _)| (*due, *number));
        let is_suspended = now < self.hosts[index].suspended_until;
        let (due, later): (Vec<_>, Vec<_>) = calls.into_iter().partition(|(due, _, call)| {
            let is_request = matches!(call, Call::Start(..) | Call::Stop(..));
            *due <= now && (is_request || !is_suspended)
        });
        self.hosts[index].calls = later;
        for (_, _, call) in due {
            self.execute_call(index, call);
        }
    }

    fn execute_call(&mut self, index: usize, call: Call) {
        let now = self.time();
        let random = self.rng.random();
        let is_lost = !self.is_fault_free && self.rng.random_range(0..25) == 0;
        match call {
            Call::Start(start, ..) if self.is_refusing(index) => {
                let outcome = CallOutcome::Refused;
                self.schedule_reply(index, Call::Started(start.task, start.attempt, outcome));
            }
            Call::Stop(stop, _) if self.is_refusing(index) => {
                let outcome = CallOutcome::Refused;
                self.schedule_reply(index, Call::Stopped(stop.task, stop.attempt, outcome));
            }
            Call::Start(..) | Call::Stop(..) if self.is_silent(index) => {
                self.postpone_call(index, call);
            }
            Call::Start(start, ..) if self.is_turned_away(index) => {
                let outcome = CallOutcome::Unavailable;
                self.schedule_reply(index, Call::Started(start.task, start.attempt, outcome));
            }
            Call::Stop(stop, _) if self.is_turned_away(index) => {
                self.stops_turned_away += 1;
                let outcome = CallOutcome::Unavailable;
                self.schedule_reply(index, Call::Stopped(stop.task, stop.attempt, outcome));
            }
            Call::Start(start, lease_until, epoch) => {
                self.check_start(&start);
                let key = (start.task, start.attempt);
                let is_lasting = self.jobs[&key.0.job].is_lasting();
                let worker = &mut self.hosts[index].worker;
                let outcome = worker.start(key, epoch, lease_until, random, is_lasting, now);
                if outcome == CallOutcome::Done {
                    self.prolong_perpetual_task(index, key);
                    self.start_deadly_task(index, key.0);
                }
                let outcome = if is_lost {
                    CallOutcome::Unknown
                } else {
                    outcome
                };
                self.schedule_reply(index, Call::Started(key.0, key.1, outcome));
            }
            Call::Stop(stop, epoch) => {
                let key = (stop.task, stop.attempt);
                let outcome = self.hosts[index].worker.stop(key, epoch, now);
                let outcome = if is_lost {
                    CallOutcome::Unknown
                } else {
                    outcome
                };
                self.schedule_reply(index, Call::Stopped(stop.task, stop.attempt, outcome));
            }
            Call::Started(task, attempt, outcome) => {
                self.hosts[index]
                    .runner
                    .record_start_outcome(task, attempt, outcome, now);
            }
            Call::Stopped(task, attempt, outcome) => {
                self.hosts[index]
                    .runner
                    .record_stop_outcome(task, attempt, outcome, now);
            }
            Call::Listed(list) => {
                self.hosts[index].runner.apply_list(list, now);
            }
        }
    }

    fn schedule_reply(&mut self, index: usize, call: Call) {
        let millis = self.rng.random_range(1..30);
        self.schedule_call(index, millis, call);
    }

    fn schedule_call(&mut self, index: usize, millis: u64, call: Call) {
        let due = at(self.now_ms + millis);
        let number = self.rng.random();
        self.hosts[index].calls.push((due, number, call));
    }

    fn run_agent(&mut self, index: usize) {
        let now = self.time();
        let mut worker = super::worker();
        let host = &mut self.hosts[index];
        worker.incarnation = host.worker.incarnation;
        worker.capacity = cores(PROCESSORS);
        if now >= host.next_heartbeat_at.max(host.absent_until) {
            host.next_heartbeat_at = now.plus_millis(self.heartbeat_millis);
            let heartbeat = Heartbeat {
                id: "w".to_owned(),
                sequence: now.as_micros(),
                worker,
            };
            host.runner.record_heartbeat(heartbeat, now);
        }
        if now >= host.next_list_at {
            host.next_list_at = now.plus_millis(100);
            self.list_attempts(index);
        }
        let actions = self.hosts[index].runner.tick(now);
        self.schedule_actions(index, actions);
        self.exchange_messages(index);
    }

    /// Renews the worker's lease and lists its attempts.
    fn list_attempts(&mut self, index: usize) {
        if self.is_turned_away(index) {
            return;
        }
        let now = self.time();
        let is_silent = self.is_silent(index);
        let is_refusing = self.is_refusing(index);
        let host = &mut self.hosts[index];
        if is_refusing {
            host.next_list_at = now.plus_millis(LIST_RETRY_MS);
            host.runner.record_failed_list(now);
            host.runner.record_refusal(now);
            return;
        }
        if is_silent {
            host.next_list_at = now.plus_millis(CALL_TIMEOUT_MS);
            host.runner.record_failed_list(now);
            return;
        }
        let (lease, acknowledged) = (host.runner.lease_until(), host.runner.acknowledged());
        let mut list = host
            .worker
            .renew(host.runner.epoch(), lease, acknowledged, now);
        if !self.is_fault_free && now < host.odd_until {
            list.is_partial = true;
            list.running.pop();
        }
        self.schedule_reply(index, Call::Listed(list));
    }

    fn schedule_actions(&mut self, index: usize, actions: Vec<Action>) {
        let epoch = self.hosts[index].runner.epoch();
        for action in actions {
            let is_late = !self.is_fault_free && self.rng.random_range(0..30) == 0;
            // A call that no process accepts is executed by none.
            let is_late = is_late && !self.is_refusing(index);
            let millis = if is_late {
                self.rng.random_range(2_000..12_000)
            } else {
                self.call_millis
            };
            match action {
                Action::Start { start, lease_until } => {
                    if is_late {
                        let (task, attempt) = (start.task, start.attempt);
                        self.schedule_call(
                            index,
                            1_000,
                            Call::Started(task, attempt, CallOutcome::Unknown),
                        );
                    }
                    self.schedule_call(index, millis, Call::Start(start, lease_until, epoch));
                }
                Action::Stop(stop) => {
                    if is_late {
                        let (task, attempt) = (stop.task, stop.attempt);
                        self.schedule_call(
                            index,
                            1_000,
                            Call::Stopped(task, attempt, CallOutcome::Unknown),
                        );
                    }
                    self.schedule_call(index, millis, Call::Stop(stop, epoch));
                }
                Action::Pace { .. } => {}
            }
        }
    }

    /// Delivers messages between an agent and the owner, and opens and closes sessions.
    fn exchange_messages(&mut self, index: usize) {
        let now = self.time();
        if now < self.hosts[index].partitioned_until {
            self.hosts[index].session = None;
        }
        let epoch = self.owner.as_ref().map(Scheduler::epoch);
        let is_paused = self.now_ms < self.paused_until;
        let host = &mut self.hosts[index];
        if host.session.is_none() || host.session != epoch {
            host.messages.clear();
            host.session = None;
            if let Some(owner) = &mut self.owner {
                owner.disconnect(&host.name);
                let is_reached = now >= host.partitioned_until && !is_paused;
                if is_reached && host.runner.begin_session(owner.epoch()) {
                    host.unreached_since = None;
                    if !self.tracker.may_name(&host.name) {
                        owner.connect(&host.name);
                        host.session = epoch;
                        host.next_update_at = now;
                    }
                } else {
                    host.unreached_since.get_or_insert(self.now_ms);
                }
            }
        }
        if host.session.is_none() {
            return;
        }
        if now >= host.next_update_at {
            host.next_update_at = now.plus_millis(100);
            let update = Box::new(host.runner.next_update(now));
            host.messages
                .push_back((at(self.now_ms + 10), Message::Update(update)));
        }
        while let Some((due, _)) = self.hosts[index].messages.front() {
            if *due > now || is_paused {
                break;
            }
            let (_, message) = self.hosts[index]
                .messages
                .pop_front()
                .expect("the queue is not empty");
            match message {
                Message::Orders(orders) => {
                    let actions = self.hosts[index].runner.apply_orders(&orders, now);
                    self.schedule_actions(index, actions);
                }
                Message::Update(update) => {
                    if let Some(owner) = &mut self.owner {
                        owner.update(&update, now);
                    }
                }
            }
        }
    }

    fn run_owner(&mut self) {
        let now = self.time();
        self.write_silences();
        if self.now_ms < self.paused_until {
            return;
        }
        self.write_commit();
        let Some(owner) = &mut self.owner else {
            return;
        };
        owner.set_wall_clock(5_000_000 + self.now_ms, now);
        owner.tick(now);
        let events = owner.take_events();
        let is_move =
            |event: &&scheduler::Event| matches!(event, scheduler::Event::MadeRoom { .. });
        self.moves += events.iter().filter(is_move).count() as u64;
        self.watch.record_waits(events);
        self.record_silences();
        let Some(owner) = &mut self.owner else {
            return;
        };
        for name in owner.due_hosts(now) {
            let host = self.hosts.iter_mut().find(|host| host.name == name);
            if let (Some(host), Some(orders)) = (host, owner.orders(&name, now)) {
                host.messages
                    .push_back((at(self.now_ms + 10), Message::Orders(orders)));
            }
        }
        if self.commit.is_none()
            && let Some(commit) = owner.next_commit(now)
        {
            self.commit = Some((self.now_ms + self.rng.random_range(5..200), commit));
        }
    }

    fn write_commit(&mut self) {
        let Some((_, commit)) = self.commit.take_if(|(due, _)| *due <= self.now_ms) else {
            return;
        };
        self.revision += 1;
        for (id, revision, progress) in commit.records {
            let record = self.jobs.get_mut(&id).expect("the job was submitted");
            assert_eq!(
                record.revision, revision,
                "a commit replaces a record of another revision"
            );
            record.progress = progress;
            record.revision = self.revision;
        }
        if let Some(owner) = &mut self.owner {
            owner.commit_succeeded(self.revision);
        }
    }

    /// Checks that no worker exceeds its capacity and no task runs twice.
    fn check_workers(&self) {
        let mut running = BTreeSet::new();
        for host in &self.hosts {
            let tasks = host.worker.running.keys().map(|(task, _)| *task);
            for task in tasks {
                assert!(
                    running.insert(task),
                    "{task} runs twice at {} ms",
                    self.now_ms
                );
            }
            let tasks = host.worker.running.keys().map(|(task, _)| *task);
            let milli = tasks.map(|task| {
                let step = &self.jobs[&task.job].steps[usize::from(task.step)];
                step.demand.processors_milli
            });
            let held = milli.sum::<u32>();
            assert!(
                held <= PROCESSORS * 1_000,
                "{} runs attempts with {held} thousandths of a processor in total",
                host.name
            );
        }
    }

    /// Checks that no task starts before all tasks of the preceding step are done.
    fn check_start(&mut self, start: &Start) {
        self.starts += 1;
        let record = &self.jobs[&start.task.job];
        if start.task.step == 0 {
            return;
        }
        for index in 0..record.steps[0].tasks {
            let before = Task {
                step: 0,
                index,
                ..start.task
            };
            assert!(
                self.done_tasks.contains(&before),
                "{} starts before {before}",
                start.task
            );
        }
    }

    /// Checks that no attempt is running after all jobs have ended.
    fn check_stopped(&self) {
        for host in &self.hosts {
            let running: Vec<_> = host.worker.running.keys().collect();
            assert!(
                running.is_empty(),
                "{} still runs {running:?} after their jobs have ended",
                host.name
            );
        }
    }

    /// Checks that all tasks of a job that is recorded as done are done.
    fn check_records(&mut self) {
        for (id, record) in &self.jobs {
            if record.progress.state != State::Done {
                continue;
            }
            for (number, step) in (0..).zip(&record.steps) {
                for index in 0..step.tasks {
                    let task = Task {
                        job: *id,
                        occurrence: 0,
                        step: number,
                        index,
                    };
                    assert!(
                        self.done_tasks.contains(&task),
                        "{task} of a job recorded as done is not done"
                    );
                }
            }
        }
    }

    /// Checks that a job is recorded as failed only if one of its tasks has used up all attempts, or
    /// workers have crashed under it, and that a deadly task is never recorded as done.
    fn check_failed(&self) {
        let attempts_max = queue().attempts_max;
        for (id, record) in &self.jobs {
            let is_deadly = record.deadly_task.is_some();
            assert!(
                !is_deadly || record.progress.state != State::Done,
                "{id} is recorded as done, but a task crashes each worker"
            );
            if record.progress.state != State::Failed {
                continue;
            }
            let crashes = self.crash_counts.iter().filter(|(task, _)| task.job == *id);
            if crashes.map(|(_, crashes)| *crashes).max() >= Some(CRASHES_MIN) {
                continue;
            }
            let tasks = self
                .failure_counts
                .iter()
                .filter(|(task, _)| task.job == *id);
            let most = tasks.map(|(_, failures)| *failures).max();
            assert!(
                most >= Some(attempts_max),
                "{id} failed after {most:?} attempts"
            );
        }
    }

    fn all_jobs_ended(&self) -> bool {
        self.jobs
            .values()
            .all(|record| record.progress.state.is_over())
    }

    fn unfinished_jobs(&self) -> String {
        let active = self
            .jobs
            .iter()
            .filter(|(_, record)| !record.progress.state.is_over());
        active
            .map(|(id, _)| id.to_string())
            .collect::<Vec<_>>()
            .join(", ")
    }
}
