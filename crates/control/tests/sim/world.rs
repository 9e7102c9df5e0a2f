//! The world: processes, messages under way and faults.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use toucanquay_control::{
    agent::{Action, Agent, Event as Said, Outcome},
    cell::{Cell, Settings},
};
use toucanquay_model::{
    Resources, Section, Time,
    exchange::{Command, Report, TaskState},
    job::{self, Reply, Spec},
    task,
};

use super::{
    clock::Clock,
    counts::Counts,
    host::Host,
    owner::{Owner, Takeover},
    runtime::Key,
    store::{Answer, Call, Store},
    truth::Truth,
};

/// Everything that determines a run.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    pub seed: u64,
    pub hosts: usize,
    /// Length of the part with faults, in simulated seconds.
    pub seconds: u64,
}

const MILLI: u64 = 1_000;
const SECOND: u64 = 1_000_000;
/// How long a caller waits for an answer.
const TIMEOUT: u64 = 3 * SECOND;
/// Within this time all work must end once the faults have stopped.
const HEALING_SECONDS: u64 = 2_000;
/// Jobs for each host, so that the work left at the end of the faults is bounded.
const JOBS_PER_HOST: usize = 16;

#[derive(Debug, Clone)]
enum Event {
    PollOwner(usize),
    PollHost(usize),
    Chaos,
    Report(usize, Report),
    Reply(usize, u64, Command),
    /// A call to a host's task runtime: host, generation, incarnation, action.
    Call(usize, u64, u64, Action, Time),
    /// An answer of a host's task runtime: host, generation, incarnation.
    Said(usize, u64, u64, Said),
    /// The work of an attempt is done or fails.
    Work(usize, u64, Key, TaskState),
    /// A call to the store: owner, life, call, when it was sent by the owner's clock.
    Store(usize, u64, Call, Time),
    StoreAnswer(usize, u64, Call, Answer, Time),
}

/// The world.
#[derive(Debug)]
pub struct World {
    rng: StdRng,
    now: u64,
    order: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    bodies: BTreeMap<u64, Event>,
    hosts: Vec<Host>,
    owners: Vec<Owner>,
    store: Store,
    truth: Truth,
    specs: BTreeMap<job::Id, Spec>,
    calls: BTreeMap<u64, (job::Id, bool)>,
    next_call: u64,
    is_healing: bool,
    /// Revision of the configuration that some processes do not hold yet.
    revision: u64,
    last_reply: Option<(usize, u64, Command)>,
    pub counts: Counts,
    pub steps: u64,
}

impl World {
    pub fn new(plan: Plan) -> Self {
        let mut rng = StdRng::seed_from_u64(plan.seed);
        let mut clock = || Clock {
            offset: rng.random_range(0..1_000 * SECOND),
            // Mostly the extremes, since only they use up the margin of a lease.
            rate: [965, 965, 1_000, 1_035, 1_035][rng.random_range(0..5)],
        };
        let owners = (0..2).map(|_| Owner::new(clock())).collect();
        let capacity = Resources {
            processors_milli: 8_000,
            memory_mb: 16_000,
            accelerators: 1,
        };
        let hosts = (0..plan.hosts).map(|_| Host::new(clock(), capacity));
        let hosts = hosts.collect();
        let mut world = Self {
            rng,
            now: SECOND,
            order: 0,
            events: BinaryHeap::new(),
            bodies: BTreeMap::new(),
            hosts,
            owners,
            store: Store::default(),
            truth: Truth::default(),
            specs: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            is_healing: false,
            revision: 1,
            last_reply: None,
            counts: Counts::default(),
            steps: 0,
        };
        for owner in 0..2 {
            world.push(0, Event::PollOwner(owner));
        }
        for host in 0..plan.hosts {
            world.hosts[host].start_agent(host, SECOND);
            world.push(0, Event::PollHost(host));
        }
        world.push(SECOND, Event::Chaos);
        world
    }

    /// Runs with faults for the planned time, then without until all work has ended.
    pub fn run(&mut self, plan: Plan) {
        let end = plan.seconds * SECOND;
        while self.now < end {
            self.step();
        }
        self.heal();
        let end = self.now + HEALING_SECONDS * SECOND;
        while !self.is_quiet() {
            assert!(self.now < end, "work-does-not-end: {}", self.unfinished());
            self.step();
        }
        self.check_end();
    }

    fn step(&mut self) {
        let Some(Reverse((at, order))) = self.events.pop() else {
            return;
        };
        let event = self.bodies.remove(&order).expect("event has a body");
        self.now = self.now.max(at);
        self.steps += 1;
        self.expire_tasks();
        if let Some(until) = self.paused(&event) {
            self.push_at(until, event);
            return;
        }
        self.handle(event);
        self.check();
    }

    /// Returns until when the process that an event concerns is paused.
    fn paused(&self, event: &Event) -> Option<u64> {
        let (Event::PollOwner(owner) | Event::Report(owner, _) | Event::StoreAnswer(owner, ..)) =
            event
        else {
            return None;
        };
        let until = self.owners[*owner].paused_until;
        (until > self.now).then_some(until)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::PollOwner(owner) => {
                self.poll_owner(owner);
                let delay = self.rng.random_range(20 * MILLI..120 * MILLI);
                self.push(delay, Event::PollOwner(owner));
            }
            Event::PollHost(host) => {
                self.poll_host(host);
                let delay = self.rng.random_range(50 * MILLI..200 * MILLI);
                self.push(delay, Event::PollHost(host));
            }
            Event::Chaos => {
                if !self.is_healing {
                    self.chaos();
                    let delay = self.rng.random_range(100 * MILLI..2 * SECOND);
                    self.push(delay, Event::Chaos);
                }
            }
            Event::Report(owner, report) => self.on_report(owner, &report),
            Event::Reply(host, incarnation, command) => self.on_reply(host, incarnation, &command),
            Event::Call(host, generation, incarnation, action, called_at) => {
                if self.hosts[host].generation == generation {
                    self.on_call(host, incarnation, action, called_at);
                }
            }
            Event::Said(host, generation, incarnation, said) => {
                let is_current = self.hosts[host].generation == generation
                    && self.hosts[host].incarnation == incarnation;
                let local = self.hosts[host].clock.read(self.now);
                if is_current && let Some(agent) = &mut self.hosts[host].agent {
                    let actions = agent.handle_event(said, local);
                    self.call_runtime(host, actions);
                }
            }
            Event::Work(host, generation, key, state) => {
                if self.hosts[host].generation == generation {
                    self.end_task(host, &key, state);
                }
            }
            Event::Store(owner, life, call, sent_at) => self.on_store(owner, life, call, sent_at),
            Event::StoreAnswer(owner, life, call, answer, sent_at) => {
                if self.owners[owner].life == life {
                    self.on_store_answer(owner, call, answer, sent_at);
                }
            }
        }
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.push_at(self.now + delay, event);
    }

    fn push_at(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order)));
        self.bodies.insert(self.order, event);
    }

    fn chance(&mut self, percent: u32) -> bool {
        !self.is_healing && self.rng.random_range(0..100) < percent
    }

    /// Returns the delay of a message, which now and then is long.
    fn delay(&mut self) -> u64 {
        if self.chance(3) {
            return self.rng.random_range(SECOND..15 * SECOND);
        }
        self.rng.random_range(500..30 * MILLI)
    }

    // Owners.

    fn poll_owner(&mut self, owner: usize) {
        let local = self.owners[owner].clock.read(self.now);
        self.call_store_for_role(owner, local);
        let Some(cell) = &mut self.owners[owner].cell else {
            return;
        };
        if cell.is_deposed() {
            let answers = cell.take_answers(local);
            self.owners[owner].reset();
            self.on_answers(answers);
            return;
        }
        cell.tick(local);
        let writes = cell.take_writes(local);
        let answers = cell.take_answers(local);
        let epoch = cell.epoch();
        for write in writes {
            let expected = self.owners[owner].revisions.get(&write.segment).copied();
            let expected = expected.unwrap_or_default();
            let call = Call::Write {
                write,
                epoch,
                expected,
            };
            self.call_store(owner, call, local);
        }
        self.on_answers(answers);
        self.send_replies(owner, local);
    }

    fn call_store_for_role(&mut self, owner: usize, local: Time) {
        let this = &mut self.owners[owner];
        if this.is_calling || self.now < this.next_renewal {
            return;
        }
        let call = if let Some(takeover) = &this.takeover {
            Call::Stamp {
                number: u32::try_from(takeover.segments.len()).expect("few segments"),
                epoch: takeover.epoch,
            }
        } else if let Some(cell) = &this.cell {
            this.next_renewal = self.now + 2 * SECOND;
            Call::Renew {
                epoch: cell.epoch(),
            }
        } else {
            this.next_renewal = self.now + SECOND;
            Call::Acquire
        };
        this.is_calling = true;
        self.call_store(owner, call, local);
    }

    fn call_store(&mut self, owner: usize, call: Call, local: Time) {
        let is_slow = self.now < self.store.slow_until;
        if is_slow && matches!(call, Call::Write { .. }) {
            self.counts.add("store write slow");
        }
        let delay = if is_slow {
            self.rng.random_range(100 * MILLI..5 * SECOND)
        } else {
            self.rng.random_range(MILLI..8 * MILLI)
        };
        let life = self.owners[owner].life;
        self.push(delay, Event::Store(owner, life, call, local));
    }

    fn on_store(&mut self, owner: usize, life: u64, call: Call, sent_at: Time) {
        let is_down = self.now < self.store.down_until;
        let answer = if is_down {
            if matches!(call, Call::Write { .. }) {
                self.counts.add("store down for a write");
            }
            Answer::Failed { is_certain: true }
        } else {
            self.store.call(owner, &call, self.now)
        };
        if let Answer::Conflict { epoch, .. } = answer
            && matches!(&call, Call::Write { epoch: mine, .. } if *mine < epoch)
        {
            self.counts.add("store write of a former owner refused");
        }
        self.truth.check_store(&self.store);
        let is_lost = !is_down && self.chance(8);
        if is_lost && matches!(answer, Answer::Written { .. }) {
            self.counts.add("store answer lost after the effect");
        }
        let (delay, answer) = if is_lost {
            (TIMEOUT, Answer::Failed { is_certain: false })
        } else {
            (self.rng.random_range(500..4 * MILLI), answer)
        };
        self.push(
            delay,
            Event::StoreAnswer(owner, life, call, answer, sent_at),
        );
    }

    fn on_store_answer(&mut self, owner: usize, call: Call, answer: Answer, sent_at: Time) {
        let local = self.owners[owner].clock.read(self.now);
        let this = &mut self.owners[owner];
        let Call::Write { write, epoch, .. } = call else {
            this.is_calling = false;
            self.on_role_answer(owner, answer, sent_at, local);
            return;
        };
        let Some(cell) = this.cell.as_mut().filter(|cell| cell.epoch() == epoch) else {
            return;
        };
        match answer {
            Answer::Written { revision } => {
                this.revisions.insert(write.segment, revision);
                cell.write_succeeded(write.segment, write.version, local);
            }
            Answer::Conflict {
                epoch: other,
                revision,
            } if other == epoch => {
                // An earlier write took effect although its answer was lost.
                this.revisions.insert(write.segment, revision);
                cell.write_failed(write.segment, write.version, false, local);
            }
            Answer::Conflict { .. } => cell.mark_deposed(),
            Answer::Failed { is_certain } => {
                cell.write_failed(write.segment, write.version, is_certain, local);
            }
            _ => unreachable!("answer to another call"),
        }
        self.poll_answers(owner, local);
    }

    fn on_role_answer(&mut self, owner: usize, answer: Answer, sent_at: Time, local: Time) {
        let this = &mut self.owners[owner];
        match answer {
            Answer::Renewed(true) => {
                this.hold_until = sent_at.plus_millis(8_000);
                let hold_until = this.hold_until;
                if let Some(cell) = &mut this.cell {
                    cell.extend_ownership(hold_until);
                }
            }
            Answer::Acquired(Some(epoch)) => {
                this.takeover = Some(Takeover {
                    epoch,
                    sent_at,
                    segments: Vec::new(),
                });
            }
            Answer::Renewed(false) => {
                if let Some(cell) = &mut this.cell {
                    cell.mark_deposed();
                }
            }
            Answer::StampRefused => this.takeover = None,
            Answer::Stamped {
                text,
                revision,
                is_new,
            } => {
                let Some(takeover) = &mut this.takeover else {
                    return;
                };
                let number = u32::try_from(takeover.segments.len()).expect("few segments");
                takeover.segments.push((number, text));
                this.revisions.insert(number, revision);
                if is_new {
                    self.take_over(owner, local);
                }
            }
            _ => {}
        }
    }

    fn take_over(&mut self, owner: usize, local: Time) {
        let running = self
            .hosts
            .iter()
            .any(|host| host.runtime.running().count() > 0);
        if running {
            self.counts.add("takeover beside running tasks");
        }
        if self.owners.iter().any(|owner| owner.cell.is_some()) {
            self.counts.add("two owners alive");
        }
        let this = &mut self.owners[owner];
        let Some(takeover) = this.takeover.take() else {
            return;
        };
        let Takeover {
            epoch, segments, ..
        } = &takeover;
        let mut cell = Cell::takeover(settings(), *epoch, segments, local).expect("valid segments");
        this.hold_until = takeover.sent_at.plus_millis(8_000);
        cell.extend_ownership(this.hold_until);
        cell.configure(sections(), self.revision, self.revision);
        this.cell = Some(cell);
    }

    fn poll_answers(&mut self, owner: usize, local: Time) {
        if let Some(cell) = &mut self.owners[owner].cell {
            let answers = cell.take_answers(local);
            self.on_answers(answers);
        }
    }

    fn on_answers(&mut self, answers: Vec<(u64, Reply)>) {
        for (token, reply) in answers {
            let Some((id, is_cancel)) = self.calls.remove(&token) else {
                panic!("answered-twice: {token}");
            };
            if let Reply::One(status) = reply {
                assert_eq!(status.id, id);
                if is_cancel {
                    self.truth.cancelled.insert(id);
                } else {
                    self.truth.accepted.insert(id);
                }
            }
        }
        self.truth.check_store(&self.store);
    }

    fn on_report(&mut self, owner: usize, report: &Report) {
        let local = self.owners[owner].clock.read(self.now);
        let this = &mut self.owners[owner];
        if local >= this.hold_until && this.cell.is_some() {
            self.counts.add("owner asked after its lease");
        }
        let Some(cell) = &mut this.cell else {
            return;
        };
        self.truth.count_report(report, &mut self.counts);
        if cell.receive_report(report, local) {
            this.incarnations
                .insert(report.worker.0.clone(), report.incarnation);
        }
        cell.tick(local);
        self.send_replies(owner, local);
    }

    fn send_replies(&mut self, owner: usize, local: Time) {
        let Some(cell) = &mut self.owners[owner].cell else {
            return;
        };
        for (worker, command) in cell.take_commands(local) {
            self.truth
                .check_command(&command, &self.store, &mut self.counts);
            let host: usize = worker.0[1..].parse().expect("worker name");
            let incarnation = self.owners[owner].incarnations[&worker.0];
            let body = (host, incarnation, command);
            if self.chance(4) {
                self.counts.add("answer dropped");
                continue;
            }
            let delay = self.delay();
            self.push(delay, Event::Reply(body.0, body.1, body.2.clone()));
            if self.chance(4) {
                self.counts.add("answer repeated");
                let delay = self.delay();
                self.push(delay, Event::Reply(body.0, body.1, body.2.clone()));
            }
            self.last_reply = Some(body);
        }
    }

    // Hosts.

    fn poll_host(&mut self, host: usize) {
        let this = &mut self.hosts[host];
        if this.agent.is_none() && self.now >= this.restart_at {
            if this.runtime.running().count() > 0 {
                self.counts.add("adoption after companion restart");
            }
            this.start_agent(host, self.now);
        }
        let local = this.clock.read(self.now);
        let Some(agent) = &mut this.agent else {
            return;
        };
        let actions = agent.tick(local);
        if agent.is_drained() {
            self.replace_host(host);
            return;
        }
        self.call_runtime(host, actions);
        self.send_report(host, local);
    }

    fn send_report(&mut self, host: usize, local: Time) {
        let this = &mut self.hosts[host];
        let is_waiting = this
            .outstanding
            .is_some_and(|(_, sent_at)| local < sent_at.plus_micros(TIMEOUT));
        let Some(agent) = this.agent.as_mut().filter(|_| !is_waiting) else {
            return;
        };
        let Some(report) = agent.next_report(local) else {
            return;
        };
        this.outstanding = Some((report.sequence, local));
        let holder = self.store.holder.map_or(0, |(holder, _)| holder);
        let owner = if self.chance(10) { 1 - holder } else { holder };
        if self.chance(4) {
            self.counts.add("report dropped");
            return;
        }
        let delay = self.delay();
        if delay > 2 * SECOND {
            self.counts.add("report delayed over 2 s");
        }
        self.push(delay, Event::Report(owner, report.clone()));
        if self.chance(4) {
            self.counts.add("report repeated");
            let delay = self.delay();
            self.push(delay, Event::Report(owner, report));
        }
    }

    fn on_reply(&mut self, host: usize, incarnation: u64, command: &Command) {
        let this = &mut self.hosts[host];
        let local = this.clock.read(self.now);
        if this.incarnation != incarnation {
            return;
        }
        let Some(agent) = &mut this.agent else {
            return;
        };
        if command.epoch < agent.epoch() {
            self.counts.add("answer of an older epoch");
        }
        let (sequence, sent_at) = this.outstanding.unwrap_or((0, Time::ZERO));
        if sequence == command.sequence {
            this.outstanding = None;
        } else {
            self.counts.add("answer to an earlier report");
        }
        let actions = agent.apply_command(command, sent_at, local);
        self.call_runtime(host, actions);
    }

    fn call_runtime(&mut self, host: usize, actions: Vec<Action>) {
        for action in actions {
            let slow = matches!(action, Action::Start { .. }) && self.chance(12);
            let delay = if slow {
                self.rng.random_range(SECOND..6 * SECOND)
            } else {
                self.rng.random_range(500..20 * MILLI)
            };
            let this = &self.hosts[host];
            let (generation, incarnation) = (this.generation, this.incarnation);
            let local = this.clock.read(self.now);
            if slow && let Action::Start { grant, .. } = &action {
                let said = Said::Task {
                    task: grant.task.clone(),
                    attempt: grant.attempt,
                    outcome: Outcome::StartUnanswered,
                };
                self.push(SECOND, Event::Said(host, generation, incarnation, said));
            }
            self.push(
                delay,
                Event::Call(host, generation, incarnation, action, local),
            );
        }
    }

    fn on_call(&mut self, host: usize, incarnation: u64, action: Action, called_at: Time) {
        let local = self.hosts[host].clock.read(self.now);
        let key = match action {
            Action::Start { grant, deadline } => {
                let key = (grant.task.clone(), grant.attempt);
                let is_new = self.hosts[host]
                    .runtime
                    .start(&grant, deadline, local, self.now);
                if is_new {
                    self.on_start(host, incarnation, &key);
                } else if !self.hosts[host].runtime.held.contains_key(&key) {
                    self.say(host, incarnation, &key, Outcome::StartRefused);
                    return;
                }
                key
            }
            Action::Renew {
                task,
                attempt,
                deadline,
            } => {
                if let Some(held) = self.hosts[host].runtime.held.get_mut(&(task, attempt)) {
                    held.deadline = held.deadline.max(deadline);
                }
                return;
            }
            Action::Stop {
                task,
                attempt,
                with_checkpoint,
            } => {
                let key = (task, attempt);
                self.stop_task(host, &key, with_checkpoint);
                if self.is_running(host, &key) {
                    return;
                }
                key
            }
            Action::Throttle { .. } => return,
            Action::Forget { task, attempt } => {
                self.hosts[host].runtime.held.remove(&(task, attempt));
                return;
            }
            Action::List => {
                let tasks = self.hosts[host].runtime.list();
                let said = Said::Listed { called_at, tasks };
                self.send_said(host, incarnation, said);
                return;
            }
        };
        let outcome = self.hosts[host].runtime.outcome(&key, called_at);
        self.say(host, incarnation, &key, outcome);
    }

    fn is_running(&self, host: usize, key: &Key) -> bool {
        let held = self.hosts[host].runtime.held.get(key);
        held.is_some_and(|held| held.state.holds_resources())
    }

    fn on_start(&mut self, host: usize, incarnation: u64, key: &Key) {
        self.truth.check_start(key);
        if self.hosts[host].incarnation != incarnation {
            self.counts.add("start of a former companion took effect");
        }
        let fails = self.hosts[host].fails_all || self.chance(8);
        let length = if self.rng.random_range(0..20) == 0 {
            self.rng.random_range(20 * SECOND..60 * SECOND)
        } else {
            self.rng.random_range(200 * MILLI..12 * SECOND)
        };
        let state = if fails {
            TaskState::Failed {
                reason: "exit code 1".to_owned(),
            }
        } else {
            TaskState::Finished
        };
        let generation = self.hosts[host].generation;
        self.push(length, Event::Work(host, generation, key.clone(), state));
    }

    fn stop_task(&mut self, host: usize, key: &Key, with_checkpoint: bool) {
        if !self.is_running(host, key) {
            return;
        }
        let held = &self.hosts[host].runtime.held[key];
        let progress = held.progress_before + 1 + (self.now - held.started_at) / SECOND;
        let checkpoint = with_checkpoint.then(|| progress.to_string());
        if with_checkpoint {
            self.counts.add("eviction");
        }
        let delay = self.rng.random_range(10 * MILLI..2 * SECOND);
        let generation = self.hosts[host].generation;
        let state = TaskState::Stopped { checkpoint };
        self.push(delay, Event::Work(host, generation, key.clone(), state));
    }

    fn end_task(&mut self, host: usize, key: &Key, state: TaskState) {
        if !self.is_running(host, key) {
            return;
        }
        if matches!(state, TaskState::Failed { .. }) {
            self.counts.add("task failed");
        }
        if let Some(held) = self.hosts[host].runtime.held.get_mut(key) {
            held.state = state.clone();
        }
        self.truth.ends.insert(key.clone(), state);
        let outcome = self.hosts[host].runtime.outcome(key, Time::ZERO);
        let incarnation = self.hosts[host].incarnation;
        self.say(host, incarnation, key, outcome);
    }

    fn say(&mut self, host: usize, incarnation: u64, key: &Key, outcome: Outcome) {
        let said = Said::Task {
            task: key.0.clone(),
            attempt: key.1,
            outcome,
        };
        self.send_said(host, incarnation, said);
    }

    fn send_said(&mut self, host: usize, incarnation: u64, said: Said) {
        let delay = self.rng.random_range(500..20 * MILLI);
        let generation = self.hosts[host].generation;
        self.push(delay, Event::Said(host, generation, incarnation, said));
    }

    /// Has each runtime end the tasks whose lease deadline has passed.
    fn expire_tasks(&mut self) {
        for host in 0..self.hosts.len() {
            let local = self.hosts[host].clock.read(self.now);
            for key in self.hosts[host].runtime.expire(local) {
                self.counts
                    .add("runtime ended a task at its lease deadline");
                let state = TaskState::Stopped { checkpoint: None };
                self.truth.ends.insert(key.clone(), state);
                let incarnation = self.hosts[host].incarnation;
                self.say(
                    host,
                    incarnation,
                    &key,
                    Outcome::Stopped { checkpoint: None },
                );
            }
        }
    }

    fn replace_host(&mut self, host: usize) {
        let restart_at = self.now + self.rng.random_range(SECOND..20 * SECOND);
        let this = &mut self.hosts[host];
        this.stop_agent(restart_at);
        this.generation += 1;
        this.runtime.held.clear();
        this.fails_all = false;
    }

    // Faults.

    fn chaos(&mut self) {
        let host = self.rng.random_range(0..self.hosts.len());
        let owner = self.rng.random_range(0..2);
        match self.rng.random_range(0..100) {
            0..40 => self.submit(),
            40..45 => self.cancel_some(1),
            45..46 => self.cancel_some(8),
            46..54 => self.evict(),
            54..58 => {
                let length = self.rng.random_range(SECOND..25 * SECOND);
                self.pause(owner, length);
            }
            58..59 => {
                if self.owners[owner].cell.is_some() {
                    self.counts.add("owner killed");
                }
                self.owners[owner].reset();
            }
            59..61 => self.store.down_until = self.now + self.rng.random_range(SECOND..12 * SECOND),
            61..64 => self.store.slow_until = self.now + self.rng.random_range(SECOND..8 * SECOND),
            64..71 => self.restart_agent(host),
            71..73 => {
                if self.hosts[host].runtime.running().count() > 0 {
                    self.counts.add("worker lost beside running tasks");
                }
                self.replace_host(host);
            }
            73..75 => self.leave(host),
            75..76 => self.hosts[host].fails_all = true,
            76..78 => self.hosts[host].fails_all = false,
            78..81 => self.configure(owner),
            81..92 => self.catch_up(),
            92..97 => self.repeat_reply(),
            _ => {}
        }
    }

    fn submit(&mut self) {
        let number = self.specs.len();
        if number >= JOBS_PER_HOST * self.hosts.len() {
            return;
        }
        let id = job::Id(format!("job{number}"));
        let is_repeat = number > 0 && self.rng.random_range(0..5) == 0;
        let spec = if is_repeat {
            let place = self.rng.random_range(0..number);
            self.specs.values().nth(place).expect("a spec").clone()
        } else {
            let accelerators = if number == 0 {
                9
            } else {
                u32::from(self.rng.random_range(0..8) == 0)
            };
            Spec {
                id,
                team: "desk".to_owned(),
                kind: "plan".to_owned(),
                tasks: self.rng.random_range(1..12),
                demand: Resources {
                    processors_milli: self.rng.random_range(500..5_000),
                    memory_mb: self.rng.random_range(500..9_000),
                    accelerators,
                },
                urgency: job::Urgency::Normal,
                finish_by_unix_ms: None,
                payload: String::new(),
            }
        };
        let owner = self.rng.random_range(0..2);
        self.specs.insert(spec.id.clone(), spec.clone());
        let token = self.token(&spec.id, false);
        let local = self.owners[owner].clock.read(self.now);
        let is_paused = self.owners[owner].paused_until > self.now;
        if let Some(cell) = self.owners[owner].cell.as_mut().filter(|_| !is_paused) {
            cell.submit(spec, token, local);
        }
    }

    fn token(&mut self, id: &job::Id, is_cancel: bool) -> u64 {
        self.next_call += 1;
        self.calls.insert(self.next_call, (id.clone(), is_cancel));
        self.next_call
    }

    fn cancel_some(&mut self, count: usize) {
        if count > 1 {
            self.counts.add("cancellation wave");
        }
        for _ in 0..count {
            if self.specs.is_empty() {
                return;
            }
            let place = self.rng.random_range(0..self.specs.len());
            let id = self.specs.keys().nth(place).expect("a spec").clone();
            let is_running = |host: &Host| host.runtime.running().any(|(key, _)| key.0.job == id);
            if self.hosts.iter().any(is_running) {
                self.counts.add("cancellation beside running tasks");
            }
            let token = self.token(&id, true);
            for owner in 0..2 {
                let this = &mut self.owners[owner];
                let local = this.clock.read(self.now);
                if let Some(cell) = &mut this.cell
                    && this.paused_until <= self.now
                    && local < this.hold_until
                {
                    cell.cancel(&id, token, local);
                    break;
                }
            }
        }
    }

    fn evict(&mut self) {
        let host = self.rng.random_range(0..self.hosts.len());
        let tasks: Vec<task::Id> = self.hosts[host]
            .runtime
            .running()
            .map(|(key, _)| key.0.clone())
            .collect();
        for owner in &mut self.owners {
            if let Some(cell) = &mut owner.cell
                && owner.paused_until <= self.now
            {
                for task in &tasks {
                    cell.evict(task);
                    cell.throttle(task, 50);
                }
            }
        }
    }

    fn pause(&mut self, owner: usize, length: u64) {
        let until = self.now + length;
        let this = &mut self.owners[owner];
        if this.cell.is_some() && this.clock.read(until) > this.hold_until {
            self.counts.add("owner paused past its lease");
        }
        this.paused_until = this.paused_until.max(until);
    }

    fn restart_agent(&mut self, host: usize) {
        let longest = if self.chance(40) { 14 } else { 3 };
        let restart_at = self.now + self.rng.random_range(10 * MILLI..longest * SECOND);
        let this = &mut self.hosts[host];
        if this.agent.is_some() && this.runtime.running().count() > 0 {
            self.counts.add("companion restart beside running tasks");
        }
        this.stop_agent(restart_at);
    }

    fn leave(&mut self, host: usize) {
        let this = &mut self.hosts[host];
        let local = this.clock.read(self.now);
        let is_running = this.runtime.running().count() > 0;
        if let Some(agent) = &mut this.agent {
            if is_running {
                self.counts.add("leaving beside running tasks");
            }
            let actions = agent.start_draining(local);
            self.call_runtime(host, actions);
        }
    }

    /// Raises the configuration's revision, of which some processes learn and which one may hold.
    fn configure(&mut self, owner: usize) {
        self.revision += 1;
        for (place, this) in self.owners.iter_mut().enumerate() {
            if let Some(cell) = &mut this.cell
                && self.rng.random_range(0..2) == 0
            {
                let held = if place == owner { self.revision } else { 0 };
                cell.configure(sections(), held, self.revision);
            }
        }
        for host in &mut self.hosts {
            if self.rng.random_range(0..2) == 0
                && let Some(agent) = &mut host.agent
            {
                agent.configure(host.revision, self.revision);
            }
        }
    }

    /// Delivers an old answer once more.
    fn repeat_reply(&mut self) {
        if let Some((host, incarnation, command)) = self.last_reply.clone() {
            let delay = self.rng.random_range(SECOND..20 * SECOND);
            self.push(delay, Event::Reply(host, incarnation, command));
        }
    }

    /// Has every process catch up with the configuration.
    fn catch_up(&mut self) {
        for owner in &mut self.owners {
            if let Some(cell) = &mut owner.cell {
                cell.configure(sections(), self.revision, self.revision);
            }
        }
        for host in &mut self.hosts {
            host.revision = self.revision;
            if let Some(agent) = &mut host.agent {
                agent.configure(self.revision, self.revision);
            }
        }
    }

    // Checks.

    fn check(&mut self) {
        let mut places: BTreeMap<&task::Id, usize> = BTreeMap::new();
        for (name, host) in self.hosts.iter().enumerate() {
            let used = host.runtime.used();
            assert!(
                used.fits(&host.capacity),
                "capacity-exceeded: w{name} runs {used}"
            );
            for (key, _) in host.runtime.running() {
                let other = places.insert(&key.0, name);
                assert!(
                    other.is_none(),
                    "task-in-two-places: {} on worker {name} and worker {other:?}",
                    key.0
                );
            }
        }
        for cell in self
            .owners
            .iter_mut()
            .filter_map(|owner| owner.cell.as_mut())
        {
            let violations = cell.take_violations();
            assert!(violations.is_empty(), "owner-violation: {violations:?}");
        }
        for (name, host) in self.hosts.iter().enumerate() {
            let now = host.agent.as_ref().map_or(0, Agent::capacity_violations);
            assert_eq!(
                host.violations + now,
                0,
                "capacity-counter: w{name} counted a violation"
            );
        }
    }

    fn heal(&mut self) {
        self.catch_up();
        self.is_healing = true;
        self.store.down_until = 0;
        self.store.slow_until = 0;
        for owner in &mut self.owners {
            owner.paused_until = 0;
        }
        for host in &mut self.hosts {
            host.fails_all = false;
        }
    }

    fn owner(&self) -> Option<&Cell> {
        let (holder, _) = self.store.holder?;
        let cell = self.owners[holder].cell.as_ref()?;
        (cell.epoch() == self.store.epoch && !cell.is_deposed()).then_some(cell)
    }

    /// Tells whether every accepted job is over that can run at all.
    fn is_quiet(&self) -> bool {
        let Some(cell) = self.owner() else {
            return false;
        };
        let is_over = |id: &job::Id| {
            let status = cell.job_status(id);
            status.is_some_and(|status| status.is_over() || status.unfit.is_some())
        };
        cell.running_attempts() == 0
            && cell.worker_count() == self.hosts.len()
            && self.truth.accepted.iter().all(is_over)
    }

    fn unfinished(&self) -> String {
        let list = self.owner().map(Cell::job_statuses).unwrap_or_default();
        let open = list.iter().filter(|status| !status.is_over());
        let agents = self.hosts.iter().map(|host| &host.agent);
        let agents: Vec<_> = agents.collect();
        format!("{:?}\n{agents:#?}", open.collect::<Vec<_>>())
    }

    fn check_end(&mut self) {
        self.truth.check_store(&self.store);
        let cell = self.owner().expect("an owner");
        for id in &self.truth.accepted {
            let status = cell.job_status(id).expect("accepted job is known");
            let is_unfit = self.specs[id].demand.accelerators > 1;
            assert_eq!(status.unfit.is_some(), is_unfit, "unfit-not-named: {id}");
            assert!(
                status.is_cancelled || is_unfit || status.finished + status.failed == status.tasks,
                "completion-count: {status:?}"
            );
        }
    }
}

fn settings() -> Settings {
    Settings {
        retention_micros: 10_000 * SECOND,
        ..Settings::default()
    }
}

fn sections() -> BTreeMap<String, Section> {
    BTreeMap::from([("desk".to_owned(), Section::default())])
}
