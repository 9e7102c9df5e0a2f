//! Owners, companions, workers and a store in one process, with random faults.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use toucanquay_control::{
    runner::{self, Action, AttemptList, CallOutcome, Heartbeat, Runner},
    scheduler::{self, Restored, Scheduler},
};
use toucanquay_model::{
    Time,
    graph::{Id, Progress, State, Step, Task},
    session::{Ending, Orders, Start, Stop, Update},
};

use super::{acceptance, at, cores, queue, step, worker::Worker};

/// Time between two steps, in milliseconds.
const STEP_MS: u64 = 10;

/// Time after which nothing of a job that is over runs any more in calm, in milliseconds.
const STOP_MS_MAX: u64 = 3_000;

/// Time without a renewal in which an owner may act, in milliseconds.
const AUTHORITY_MS: u64 = 1_600;

/// Time after which another owner may take over, in milliseconds.
const TAKEOVER_MS: u64 = 2_000;

/// Processors of a worker.
const PROCESSORS: u32 = 16;

/// A message on its way.
#[derive(Debug, Clone)]
enum Message {
    Orders(Orders),
    Update(Box<Update>),
}

/// A call to a worker that is on its way or whose answer is.
#[derive(Debug, Clone)]
enum Call {
    Start(Start, Time, u64),
    Stop(Stop),
    Started(Task, u64, CallOutcome),
    Stopped(Task, u64, CallOutcome),
    Listed(AttemptList),
}

/// One host.
#[derive(Debug)]
struct Host {
    name: String,
    process: u64,
    runner: Runner,
    worker: Worker,
    calls: Vec<(Time, u64, Call)>,
    messages: VecDeque<(Time, Message)>,
    /// Epoch of the owner to which the session belongs.
    session: Option<u64>,
    cut_until: Time,
    list_at: Time,
    update_at: Time,
}

/// What the store holds of a job.
#[derive(Debug, Default)]
struct Record {
    steps: Vec<Step>,
    progress: Progress,
    revision: u64,
    is_cancelled: bool,
}

/// The world.
#[derive(Debug)]
pub struct World {
    random: StdRng,
    now: u64,
    epoch: u64,
    owner: Option<Scheduler>,
    renewed_at: u64,
    paused_until: u64,
    commit: Option<(u64, scheduler::Commit)>,
    hosts: Vec<Host>,
    jobs: BTreeMap<Id, Record>,
    revision: u64,
    done: BTreeSet<Task>,
    failed: BTreeMap<Task, u32>,
    is_calm: bool,
    /// Faults that were injected.
    pub faults: u64,
    /// Attempts that were started.
    pub starts: u64,
}

impl World {
    /// Returns a world with hosts and no jobs.
    pub fn new(seed: u64, hosts: u64) -> Self {
        let mut world = Self {
            random: StdRng::seed_from_u64(seed),
            now: 0,
            epoch: 0,
            owner: None,
            renewed_at: 0,
            paused_until: 0,
            commit: None,
            hosts: Vec::new(),
            jobs: BTreeMap::new(),
            revision: 10,
            done: BTreeSet::new(),
            failed: BTreeMap::new(),
            is_calm: false,
            faults: 0,
            starts: 0,
        };
        for number in 0..hosts {
            world
                .hosts
                .push(world.host(format!("h{number}"), 1_000, Worker::new(1)));
        }
        world
    }

    /// Plays `millis` with jobs and faults, and then until all jobs are over.
    ///
    /// # Panics
    ///
    /// When an invariant doesn't hold.
    pub fn play(&mut self, millis: u64) {
        while self.now < millis {
            if self.random.random_range(0..20) == 0 {
                self.submit();
            }
            if self.random.random_range(0..40) == 0 {
                self.cancel();
            }
            self.disturb();
            self.step();
        }
        self.is_calm = true;
        let give_up = self.now + 60_000;
        while !self.all_over() {
            assert!(
                self.now < give_up,
                "a job does not end: {}",
                self.unfinished()
            );
            self.step();
        }
        let settled = self.now + STOP_MS_MAX;
        while self.now < settled {
            self.step();
        }
        self.check_stopped();
        self.check_records();
        self.check_failed();
    }

    fn time(&self) -> Time {
        at(self.now)
    }

    fn host(&self, name: String, process: u64, worker: Worker) -> Host {
        let settings = runner::Settings::new(name.clone(), process, 6_000_000);
        Host {
            runner: Runner::new(settings),
            name,
            process,
            worker,
            calls: Vec::new(),
            messages: VecDeque::new(),
            session: None,
            cut_until: Time::ZERO,
            list_at: Time::ZERO,
            update_at: Time::ZERO,
        }
    }

    fn submit(&mut self) {
        let id = Id::new(self.random.random());
        let second = Step {
            after: [0].into_iter().collect(),
            ..step(self.random.random_range(1..4))
        };
        let steps = vec![step(self.random.random_range(1..6)), second];
        let record = Record {
            steps: steps.clone(),
            ..Record::default()
        };
        self.jobs.insert(id, record);
        let now = self.time();
        if let Some(owner) = &mut self.owner {
            owner.accept(id, acceptance(steps), now);
        }
    }

    /// Cancels a job that is not over, at any point of its life.
    fn cancel(&mut self) {
        let open = self
            .jobs
            .iter()
            .filter(|(_, record)| !record.progress.state.is_over());
        let open: Vec<Id> = open.map(|(id, _)| *id).collect();
        if open.is_empty() {
            return;
        }
        let id = open[self.random.random_range(0..open.len())];
        self.jobs.get_mut(&id).expect("an open job").is_cancelled = true;
        let now = self.time();
        if let Some(owner) = &mut self.owner {
            owner.cancel(id, now);
        }
    }

    fn disturb(&mut self) {
        if self.random.random_range(0..60) != 0 {
            return;
        }
        self.faults += 1;
        let index = self.random.random_range(0..self.hosts.len());
        match self.random.random_range(0..6) {
            0 => self.owner = None,
            1 => self.paused_until = self.now + self.random.random_range(100..5_000),
            2 => self.restart_agent(index),
            3 => self.restart_worker(index),
            4 => {
                let millis = self.random.random_range(100..9_000);
                self.hosts[index].cut_until = at(self.now + millis);
            }
            _ => self.hosts[index].session = None,
        }
    }

    fn restart_agent(&mut self, index: usize) {
        let (name, process) = (self.hosts[index].name.clone(), self.incarnation());
        let worker = self.hosts[index].worker.clone();
        let mut host = self.host(name, process, worker);
        // Orders that are on their way to the worker still arrive; answers find nobody.
        let is_order = |call: &Call| matches!(call, Call::Start(..) | Call::Stop(_));
        let calls = std::mem::take(&mut self.hosts[index].calls);
        host.calls = calls
            .into_iter()
            .filter(|(_, _, call)| is_order(call))
            .collect();
        self.hosts[index] = host;
    }

    /// Returns the incarnation of a process that starts now.
    const fn incarnation(&self) -> u64 {
        1_000 + self.now
    }

    fn restart_worker(&mut self, index: usize) {
        let life = self.incarnation();
        let host = &mut self.hosts[index];
        host.worker = Worker::new(life);
        host.calls.clear();
        host.runner.mark_worker_exited();
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        self.elect();
        for index in 0..self.hosts.len() {
            self.run_worker(index);
            self.run_agent(index);
        }
        self.run_owner();
        self.check_workers();
    }

    fn elect(&mut self) {
        let is_silent = self.owner.is_none() || self.now < self.paused_until;
        if !is_silent {
            self.renewed_at = self.now;
            if let Some(owner) = &mut self.owner {
                owner.hold(at(self.now + AUTHORITY_MS));
            }
            return;
        }
        if self.now < self.renewed_at + TAKEOVER_MS {
            return;
        }
        self.paused_until = 0;
        self.renewed_at = self.now;
        self.epoch += 1;
        self.commit = None;
        let now = self.time();
        let names = self.hosts.iter().map(|host| host.name.clone());
        let settings = scheduler::Settings::default();
        let mut owner = Scheduler::new(settings, self.epoch, names, now);
        owner.hold(at(self.now + AUTHORITY_MS));
        owner.set_wall_clock(5_000_000 + self.now, now);
        for (id, record) in &self.jobs {
            let restored = Restored {
                progress: record.progress.clone(),
                revision: record.revision,
            };
            owner.restore(*id, acceptance(record.steps.clone()), restored, now);
            if record.is_cancelled {
                owner.cancel(*id, now);
            }
        }
        self.owner = Some(owner);
        for host in &mut self.hosts {
            host.session = None;
        }
    }

    fn run_worker(&mut self, index: usize) {
        let now = self.time();
        for (task, ending) in self.hosts[index].worker.advance(now) {
            if ending == Ending::Done {
                self.done.insert(task);
            } else {
                *self.failed.entry(task).or_default() += 1;
            }
        }
        let mut calls = std::mem::take(&mut self.hosts[index].calls);
        calls.sort_by_key(|(due, number, _)| (*due, *number));
        let (due, later): (Vec<_>, Vec<_>) = calls.into_iter().partition(|(due, _, _)| *due <= now);
        self.hosts[index].calls = later;
        for (_, _, call) in due {
            self.carry(index, call);
        }
    }

    fn carry(&mut self, index: usize, call: Call) {
        let now = self.time();
        let random = self.random.random();
        let is_lost = !self.is_calm && self.random.random_range(0..25) == 0;
        match call {
            Call::Start(start, lease_until, epoch) => {
                self.check_start(&start);
                let key = (start.task, start.attempt);
                let worker = &mut self.hosts[index].worker;
                let outcome = worker.start(key, epoch, lease_until, random, now);
                let outcome = if is_lost {
                    CallOutcome::Unknown
                } else {
                    outcome
                };
                self.later(index, Call::Started(key.0, key.1, outcome));
            }
            Call::Stop(stop) => {
                let outcome = self.hosts[index].worker.stop(stop.task, stop.attempt, now);
                let outcome = if is_lost {
                    CallOutcome::Unknown
                } else {
                    outcome
                };
                self.later(index, Call::Stopped(stop.task, stop.attempt, outcome));
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
            Call::Listed(listing) => {
                self.hosts[index].runner.apply_list(listing, now);
            }
        }
    }

    fn later(&mut self, index: usize, call: Call) {
        let millis = self.random.random_range(1..30);
        self.push(index, millis, call);
    }

    fn push(&mut self, index: usize, millis: u64, call: Call) {
        let due = at(self.now + millis);
        let number = self.random.random();
        self.hosts[index].calls.push((due, number, call));
    }

    fn run_agent(&mut self, index: usize) {
        let now = self.time();
        let mut worker = super::worker();
        let host = &mut self.hosts[index];
        worker.incarnation = host.worker.life;
        worker.capacity = cores(PROCESSORS);
        host.runner.record_heartbeat(Heartbeat {
            id: "w".to_owned(),
            sequence: now.as_micros(),
            worker,
        });
        if now >= host.list_at {
            host.list_at = now.plus_millis(100);
            let (lease, acknowledged) = (host.runner.lease_until(), host.runner.acknowledged());
            let listing = host
                .worker
                .hold(host.runner.epoch(), lease, acknowledged, now);
            self.later(index, Call::Listed(listing));
        }
        let actions = self.hosts[index].runner.tick(now);
        self.act(index, actions);
        self.deliver(index);
    }

    fn act(&mut self, index: usize, actions: Vec<Action>) {
        let epoch = self.hosts[index].runner.epoch();
        for action in actions {
            let is_late = !self.is_calm && self.random.random_range(0..30) == 0;
            let millis = if is_late {
                self.random.random_range(2_000..12_000)
            } else {
                3
            };
            match action {
                Action::Start { start, lease_until } => {
                    if is_late {
                        let (task, attempt) = (start.task, start.attempt);
                        self.push(
                            index,
                            1_000,
                            Call::Started(task, attempt, CallOutcome::Unknown),
                        );
                    }
                    self.push(index, millis, Call::Start(start, lease_until, epoch));
                }
                Action::Stop(stop) => {
                    if is_late {
                        let (task, attempt) = (stop.task, stop.attempt);
                        self.push(
                            index,
                            1_000,
                            Call::Stopped(task, attempt, CallOutcome::Unknown),
                        );
                    }
                    self.push(index, millis, Call::Stop(stop));
                }
                Action::Pace { .. } => {}
            }
        }
    }

    /// Delivers messages between an agent and the owner, and opens sessions.
    fn deliver(&mut self, index: usize) {
        let now = self.time();
        if now < self.hosts[index].cut_until {
            self.hosts[index].session = None;
        }
        let epoch = self.owner.as_ref().map(Scheduler::epoch);
        let is_paused = self.now < self.paused_until;
        let host = &mut self.hosts[index];
        if host.session.is_none() || host.session != epoch {
            host.messages.clear();
            host.session = None;
            if let Some(owner) = &mut self.owner {
                owner.disconnect(&host.name);
                let is_reached = now >= host.cut_until && !is_paused;
                if is_reached && host.runner.begin_session(owner.epoch()) {
                    owner.connect(&host.name);
                    host.session = epoch;
                    host.update_at = now;
                }
            }
        }
        if host.session.is_none() {
            return;
        }
        if now >= host.update_at {
            host.update_at = now.plus_millis(100);
            let update = Box::new(host.runner.next_update(now));
            host.messages
                .push_back((at(self.now + 10), Message::Update(update)));
        }
        while let Some((due, _)) = self.hosts[index].messages.front() {
            if *due > now || is_paused {
                break;
            }
            let (_, message) = self.hosts[index].messages.pop_front().expect("a message");
            match message {
                Message::Orders(orders) => {
                    let actions = self.hosts[index].runner.apply_orders(&orders, now);
                    self.act(index, actions);
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
        if self.now < self.paused_until {
            return;
        }
        self.write();
        let Some(owner) = &mut self.owner else {
            return;
        };
        owner.set_wall_clock(5_000_000 + self.now, now);
        owner.tick(now);
        for name in owner.due_hosts(now) {
            let host = self.hosts.iter_mut().find(|host| host.name == name);
            if let (Some(host), Some(orders)) = (host, owner.orders(&name, now)) {
                host.messages
                    .push_back((at(self.now + 10), Message::Orders(orders)));
            }
        }
        if self.commit.is_none()
            && let Some(commit) = owner.drain_commit(now)
        {
            self.commit = Some((self.now + self.random.random_range(5..200), commit));
        }
    }

    fn write(&mut self) {
        let Some((_, commit)) = self.commit.take_if(|(due, _)| *due <= self.now) else {
            return;
        };
        self.revision += 1;
        for (id, revision, progress) in commit.records {
            let record = self.jobs.get_mut(&id).expect("a job that was accepted");
            assert_eq!(record.revision, revision, "a record is replaced unseen");
            record.progress = progress;
            record.revision = self.revision;
        }
        if let Some(owner) = &mut self.owner {
            owner.committed(self.revision);
        }
    }

    /// No worker holds more than it can, and no task runs twice.
    fn check_workers(&self) {
        let mut running = BTreeSet::new();
        for host in &self.hosts {
            let tasks = host.worker.running.keys().map(|(task, _)| *task);
            for task in tasks {
                assert!(running.insert(task), "{task} runs twice at {} ms", self.now);
            }
            let held = host.worker.running.len() as u32 * 2;
            assert!(held <= PROCESSORS, "{} holds {held} processors", host.name);
        }
    }

    /// No task starts before the step before it is done.
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
                self.done.contains(&before),
                "{} starts before {before}",
                start.task
            );
        }
    }

    /// Nothing runs of a job that is over.
    fn check_stopped(&self) {
        for host in &self.hosts {
            let running: Vec<_> = host.worker.running.keys().collect();
            assert!(
                running.is_empty(),
                "{} runs {running:?} after their jobs",
                host.name
            );
        }
    }

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
                        self.done.contains(&task),
                        "{task} counts as done and is not"
                    );
                }
            }
        }
    }

    /// A job counts as failed only if one of its tasks has failed often enough.
    fn check_failed(&self) {
        let attempts_max = queue().attempts_max;
        for (id, record) in &self.jobs {
            if record.progress.state != State::Failed {
                continue;
            }
            let tasks = self.failed.iter().filter(|(task, _)| task.job == *id);
            let most = tasks.map(|(_, failures)| *failures).max();
            assert!(
                most >= Some(attempts_max),
                "{id} failed after {most:?} attempts"
            );
        }
    }

    fn all_over(&self) -> bool {
        self.jobs
            .values()
            .all(|record| record.progress.state.is_over())
    }

    fn unfinished(&self) -> String {
        let open = self
            .jobs
            .iter()
            .filter(|(_, record)| !record.progress.state.is_over());
        open.map(|(id, _)| id.to_string())
            .collect::<Vec<_>>()
            .join(", ")
    }
}
