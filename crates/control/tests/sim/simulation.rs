//! Discrete-event simulation: processes, messages in flight and injected faults.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use toucanquay_control::{
    agent::{Action, Agent, Event as AgentEvent, Outcome},
    cell::{Cell, Settings},
};
use toucanquay_model::{
    Resources, Section, Time,
    exchange::{Command, Report, TaskState},
    job::{self, Reply, Spec},
    task,
};

use super::{
    checker::InvariantChecker,
    clock::Clock,
    counts::FaultCounts,
    host::Host,
    owner::{Owner, Takeover},
    runtime::AttemptKey,
    store::{Call, Response, Store},
};

/// Parameters that fully determine a run.
#[derive(Debug, Clone, Copy)]
pub struct RunParameters {
    pub seed: u64,
    pub hosts: usize,
    /// Duration of the phase with faults, in simulated seconds.
    pub seconds: u64,
}

/// Millisecond in microseconds, the unit of simulated time.
const MILLISECOND: u64 = 1_000;
/// Second in microseconds.
const SECOND: u64 = 1_000_000;
/// Time after which a caller without a response gives up.
const CALL_TIMEOUT: u64 = 3 * SECOND;
/// Maximum time until all work has ended after the faults have stopped, in seconds.
const RECOVERY_SECONDS: u64 = 2_000;
/// Maximum number of jobs per host, which bounds the work left when the faults stop.
const JOBS_PER_HOST_MAX: usize = 16;

/// Scheduled event of the simulation.
#[derive(Debug, Clone)]
enum Event {
    PollOwner(usize),
    PollHost(usize),
    InjectFault,
    /// Report that arrives at an owner: owner, report.
    Report(usize, Report),
    /// Command that arrives at a companion: host, incarnation, command.
    Command(usize, u64, Command),
    /// Call that arrives at a task runtime: host, generation, incarnation, action, time of the call
    /// by the host's clock.
    RuntimeCall(usize, u64, u64, Action, Time),
    /// Result or timeout of a runtime call that reaches the companion: host, generation,
    /// incarnation, event.
    RuntimeOutcome(usize, u64, u64, AgentEvent),
    /// Attempt that ends: host, generation, attempt, final state.
    TaskEnd(usize, u64, AttemptKey, TaskState),
    /// Call that arrives at the store: owner, generation, call, time of the call by the owner's
    /// clock.
    StoreCall(usize, u64, Call, Time),
    /// Response or timeout of a store call that reaches the owner: owner, generation, call,
    /// response, time of the call by the owner's clock.
    StoreResponse(usize, u64, Call, Response, Time),
}

/// Simulated processes, the store and the messages between them.
#[derive(Debug)]
pub struct Simulation {
    rng: StdRng,
    /// Simulated time in microseconds.
    now: u64,
    /// Sequence number of the last scheduled event, which orders events at the same time.
    event_sequence: u64,
    /// Times and sequence numbers of the scheduled events.
    event_queue: BinaryHeap<Reverse<(u64, u64)>>,
    events_by_sequence: BTreeMap<u64, Event>,
    hosts: Vec<Host>,
    owners: Vec<Owner>,
    store: Store,
    checker: InvariantChecker,
    specs: BTreeMap<job::Id, Spec>,
    /// Job of each client call without a reply, by token, and whether the call is a cancellation.
    client_calls: BTreeMap<u64, (job::Id, bool)>,
    /// Token of the last client call.
    last_client_call: u64,
    are_faults_stopped: bool,
    /// Highest configuration revision, which some processes may not hold yet.
    revision: u64,
    /// Last command that was sent, with its host and the incarnation of its companion.
    last_command: Option<(usize, u64, Command)>,
    pub counts: FaultCounts,
    /// Number of events that have been processed.
    pub steps: u64,
}

impl Simulation {
    pub fn new(parameters: RunParameters) -> Self {
        let mut rng = StdRng::seed_from_u64(parameters.seed);
        let mut clock = || Clock {
            offset: rng.random_range(0..1_000 * SECOND),
            // Mostly the extremes of the tolerated drift, since only they use up the safety margin
            // of a lease.
            rate: [965, 965, 1_000, 1_035, 1_035][rng.random_range(0..5)],
        };
        let owners = (0..2).map(|_| Owner::new(clock())).collect();
        let capacity = Resources {
            processors_milli: 8_000,
            memory_mb: 16_000,
            accelerators: 1,
        };
        let hosts = (0..parameters.hosts).map(|_| Host::new(clock(), capacity));
        let hosts = hosts.collect();
        let mut simulation = Self {
            rng,
            now: SECOND,
            event_sequence: 0,
            event_queue: BinaryHeap::new(),
            events_by_sequence: BTreeMap::new(),
            hosts,
            owners,
            store: Store::default(),
            checker: InvariantChecker::default(),
            specs: BTreeMap::new(),
            client_calls: BTreeMap::new(),
            last_client_call: 0,
            are_faults_stopped: false,
            revision: 1,
            last_command: None,
            counts: FaultCounts::default(),
            steps: 0,
        };
        for owner in 0..2 {
            simulation.push(0, Event::PollOwner(owner));
        }
        for host in 0..parameters.hosts {
            simulation.hosts[host].start_agent(host, SECOND);
            simulation.push(0, Event::PollHost(host));
        }
        simulation.push(SECOND, Event::InjectFault);
        simulation
    }

    /// Runs with faults for the given time, then without until all work has ended.
    pub fn run(&mut self, parameters: RunParameters) {
        let end = parameters.seconds * SECOND;
        while self.now < end {
            self.step();
        }
        self.stop_faults();
        let end = self.now + RECOVERY_SECONDS * SECOND;
        while !self.is_work_done() {
            assert!(
                self.now < end,
                "work-does-not-end: {}",
                self.describe_unfinished()
            );
            self.step();
        }
        self.check_final_state();
    }

    /// Processes the next event and checks the invariants.
    fn step(&mut self) {
        let Some(Reverse((at, event_sequence))) = self.event_queue.pop() else {
            return;
        };
        let event = self
            .events_by_sequence
            .remove(&event_sequence)
            .expect("every queued event is stored under its sequence number");
        self.now = self.now.max(at);
        self.steps += 1;
        self.expire_tasks();
        if let Some(until) = self.paused_until(&event) {
            self.push_at(until, event);
            return;
        }
        self.handle_event(event);
        self.check_invariants();
    }

    /// Returns the end of the pause if the owner that handles an event is paused.
    fn paused_until(&self, event: &Event) -> Option<u64> {
        let (Event::PollOwner(owner) | Event::Report(owner, _) | Event::StoreResponse(owner, ..)) =
            event
        else {
            return None;
        };
        let until = self.owners[*owner].paused_until;
        (until > self.now).then_some(until)
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::PollOwner(owner) => {
                self.poll_owner(owner);
                let delay = self.rng.random_range(20 * MILLISECOND..120 * MILLISECOND);
                self.push(delay, Event::PollOwner(owner));
            }
            Event::PollHost(host) => {
                self.poll_host(host);
                let delay = self.rng.random_range(50 * MILLISECOND..200 * MILLISECOND);
                self.push(delay, Event::PollHost(host));
            }
            Event::InjectFault => {
                if !self.are_faults_stopped {
                    self.inject_fault();
                    let delay = self.rng.random_range(100 * MILLISECOND..2 * SECOND);
                    self.push(delay, Event::InjectFault);
                }
            }
            Event::Report(owner, report) => self.on_report(owner, &report),
            Event::Command(host, incarnation, command) => {
                self.on_command(host, incarnation, &command);
            }
            Event::RuntimeCall(host, generation, incarnation, action, called_at) => {
                if self.hosts[host].generation == generation {
                    self.on_runtime_call(host, incarnation, action, called_at);
                }
            }
            Event::RuntimeOutcome(host, generation, incarnation, agent_event) => {
                let is_current = self.hosts[host].generation == generation
                    && self.hosts[host].incarnation == incarnation;
                let local_time = self.hosts[host].clock.read(self.now);
                if is_current && let Some(agent) = &mut self.hosts[host].agent {
                    let actions = agent.handle_event(agent_event, local_time);
                    self.call_runtime(host, actions);
                }
            }
            Event::TaskEnd(host, generation, key, state) => {
                if self.hosts[host].generation == generation {
                    self.end_task(host, &key, state);
                }
            }
            Event::StoreCall(owner, generation, call, sent_at) => {
                self.on_store_call(owner, generation, call, sent_at);
            }
            Event::StoreResponse(owner, generation, call, response, sent_at) => {
                if self.owners[owner].generation == generation {
                    self.on_store_response(owner, call, response, sent_at);
                }
            }
        }
    }

    /// Schedules an event after `delay`.
    fn push(&mut self, delay: u64, event: Event) {
        self.push_at(self.now + delay, event);
    }

    /// Schedules an event at the simulated time `at`.
    fn push_at(&mut self, at: u64, event: Event) {
        self.event_sequence += 1;
        self.event_queue.push(Reverse((at, self.event_sequence)));
        self.events_by_sequence.insert(self.event_sequence, event);
    }

    /// Returns true with the given probability, and false once the faults have stopped.
    fn fault_occurs(&mut self, percent: u32) -> bool {
        !self.are_faults_stopped && self.rng.random_range(0..100) < percent
    }

    /// Returns a random delay for a message, which is occasionally long.
    fn message_delay(&mut self) -> u64 {
        if self.fault_occurs(3) {
            return self.rng.random_range(SECOND..15 * SECOND);
        }
        self.rng.random_range(500..30 * MILLISECOND)
    }

    // Owners.

    /// Advances an owner's lease and cell, and sends its writes, replies and commands.
    fn poll_owner(&mut self, owner: usize) {
        let local_time = self.owners[owner].clock.read(self.now);
        self.advance_ownership(owner, local_time);
        let Some(cell) = &mut self.owners[owner].cell else {
            return;
        };
        if cell.is_deposed() {
            let replies = cell.take_answers(local_time);
            self.owners[owner].reset();
            self.on_client_replies(replies);
            return;
        }
        cell.tick(local_time);
        let writes = cell.take_writes(local_time);
        let replies = cell.take_answers(local_time);
        let epoch = cell.epoch();
        for write in writes {
            let expected = self.owners[owner]
                .segment_revisions
                .get(&write.segment)
                .copied();
            let expected = expected.unwrap_or_default();
            let call = Call::Write {
                write,
                epoch,
                expected,
            };
            self.call_store(owner, call, local_time);
        }
        self.on_client_replies(replies);
        self.send_commands(owner, local_time);
    }

    /// Sends the next store call for the ownership: raise the epoch of a segment during a takeover,
    /// else renew the lease or acquire it.
    fn advance_ownership(&mut self, owner: usize, local_time: Time) {
        let this = &mut self.owners[owner];
        if this.is_call_pending || self.now < this.next_lease_call {
            return;
        }
        let call = if let Some(takeover) = &this.takeover {
            Call::RaiseEpoch {
                number: u32::try_from(takeover.segments.len()).expect("few segments"),
                epoch: takeover.epoch,
            }
        } else if let Some(cell) = &this.cell {
            this.next_lease_call = self.now + 2 * SECOND;
            Call::Renew {
                epoch: cell.epoch(),
            }
        } else {
            this.next_lease_call = self.now + SECOND;
            Call::Acquire
        };
        this.is_call_pending = true;
        self.call_store(owner, call, local_time);
    }

    fn call_store(&mut self, owner: usize, call: Call, local_time: Time) {
        let is_slow = self.now < self.store.slow_until;
        if is_slow && matches!(call, Call::Write { .. }) {
            self.counts.increment("store write slow");
        }
        let delay = if is_slow {
            self.rng.random_range(100 * MILLISECOND..5 * SECOND)
        } else {
            self.rng.random_range(MILLISECOND..8 * MILLISECOND)
        };
        let generation = self.owners[owner].generation;
        self.push(delay, Event::StoreCall(owner, generation, call, local_time));
    }

    /// Carries out a store call, unless the store is unavailable, and sends the response.
    fn on_store_call(&mut self, owner: usize, generation: u64, call: Call, sent_at: Time) {
        let is_down = self.now < self.store.down_until;
        let response = if is_down {
            if matches!(call, Call::Write { .. }) {
                self.counts.increment("store down for a write");
            }
            Response::Failed { is_certain: true }
        } else {
            self.store.call(owner, &call, self.now)
        };
        if let Response::Conflict { epoch, .. } = response
            && matches!(&call, Call::Write { epoch: write_epoch, .. } if *write_epoch < epoch)
        {
            self.counts
                .increment("store write of a former owner refused");
        }
        self.checker.check_store(&self.store);
        let is_lost = !is_down && self.fault_occurs(8);
        if is_lost && matches!(response, Response::Written { .. }) {
            self.counts.increment("store answer lost after the effect");
        }
        let (delay, response) = if is_lost {
            (CALL_TIMEOUT, Response::Failed { is_certain: false })
        } else {
            (self.rng.random_range(500..4 * MILLISECOND), response)
        };
        self.push(
            delay,
            Event::StoreResponse(owner, generation, call, response, sent_at),
        );
    }

    fn on_store_response(&mut self, owner: usize, call: Call, response: Response, sent_at: Time) {
        let local_time = self.owners[owner].clock.read(self.now);
        let this = &mut self.owners[owner];
        let Call::Write { write, epoch, .. } = call else {
            this.is_call_pending = false;
            self.on_ownership_response(owner, response, sent_at, local_time);
            return;
        };
        let Some(cell) = this.cell.as_mut().filter(|cell| cell.epoch() == epoch) else {
            return;
        };
        match response {
            Response::Written { revision } => {
                this.segment_revisions.insert(write.segment, revision);
                cell.write_succeeded(write.segment, write.version, local_time);
            }
            Response::Conflict {
                epoch: stored_epoch,
                revision,
            } if stored_epoch == epoch => {
                // An earlier write of this owner took effect although its response was lost.
                this.segment_revisions.insert(write.segment, revision);
                cell.write_failed(write.segment, write.version, false, local_time);
            }
            Response::Conflict { .. } => cell.mark_deposed(),
            Response::Failed { is_certain } => {
                cell.write_failed(write.segment, write.version, is_certain, local_time);
            }
            _ => unreachable!("response does not match a write"),
        }
        self.collect_client_replies(owner, local_time);
    }

    fn on_ownership_response(
        &mut self,
        owner: usize,
        response: Response,
        sent_at: Time,
        local_time: Time,
    ) {
        let this = &mut self.owners[owner];
        match response {
            Response::Renewed(true) => {
                this.ownership_end = sent_at.plus_millis(8_000);
                let ownership_end = this.ownership_end;
                if let Some(cell) = &mut this.cell {
                    cell.extend_ownership(ownership_end);
                }
            }
            Response::Acquired(Some(epoch)) => {
                this.takeover = Some(Takeover {
                    epoch,
                    sent_at,
                    segments: Vec::new(),
                });
            }
            Response::Renewed(false) => {
                if let Some(cell) = &mut this.cell {
                    cell.mark_deposed();
                }
            }
            Response::EpochRefused => this.takeover = None,
            Response::EpochRaised {
                text,
                revision,
                is_new,
            } => {
                let Some(takeover) = &mut this.takeover else {
                    return;
                };
                let number = u32::try_from(takeover.segments.len()).expect("few segments");
                takeover.segments.push((number, text));
                this.segment_revisions.insert(number, revision);
                if is_new {
                    self.take_over(owner, local_time);
                }
            }
            _ => {}
        }
    }

    /// Creates the cell of a new owner from the segments.
    fn take_over(&mut self, owner: usize, local_time: Time) {
        let is_running = self
            .hosts
            .iter()
            .any(|host| host.runtime.running().count() > 0);
        if is_running {
            self.counts.increment("takeover beside running tasks");
        }
        if self.owners.iter().any(|owner| owner.cell.is_some()) {
            self.counts.increment("two owners alive");
        }
        let this = &mut self.owners[owner];
        let Some(takeover) = this.takeover.take() else {
            return;
        };
        let Takeover {
            epoch, segments, ..
        } = &takeover;
        let mut cell =
            Cell::takeover(settings(), *epoch, segments, local_time).expect("valid segments");
        this.ownership_end = takeover.sent_at.plus_millis(8_000);
        cell.extend_ownership(this.ownership_end);
        cell.configure(sections(), self.revision, self.revision);
        this.cell = Some(cell);
    }

    fn collect_client_replies(&mut self, owner: usize, local_time: Time) {
        if let Some(cell) = &mut self.owners[owner].cell {
            let replies = cell.take_answers(local_time);
            self.on_client_replies(replies);
        }
    }

    /// Records which submissions and cancellations have been acknowledged.
    fn on_client_replies(&mut self, replies: Vec<(u64, Reply)>) {
        for (token, reply) in replies {
            let Some((id, is_cancel)) = self.client_calls.remove(&token) else {
                panic!("answered-twice: {token}");
            };
            if let Reply::One(status) = reply {
                assert_eq!(status.id, id);
                if is_cancel {
                    self.checker.cancelled.insert(id);
                } else {
                    self.checker.accepted.insert(id);
                }
            }
        }
        self.checker.check_store(&self.store);
    }

    fn on_report(&mut self, owner: usize, report: &Report) {
        let local_time = self.owners[owner].clock.read(self.now);
        let this = &mut self.owners[owner];
        if local_time >= this.ownership_end && this.cell.is_some() {
            self.counts.increment("owner asked after its lease");
        }
        let Some(cell) = &mut this.cell else {
            return;
        };
        self.checker.count_report(report, &mut self.counts);
        if cell.receive_report(report, local_time) {
            this.incarnations
                .insert(report.worker.0.clone(), report.incarnation);
        }
        cell.tick(local_time);
        self.send_commands(owner, local_time);
    }

    fn send_commands(&mut self, owner: usize, local_time: Time) {
        let Some(cell) = &mut self.owners[owner].cell else {
            return;
        };
        for (worker, command) in cell.take_commands(local_time) {
            self.checker
                .check_command(&command, &self.store, &mut self.counts);
            let host: usize = worker.0[1..]
                .parse()
                .expect("a worker's name ends in its number");
            let incarnation = self.owners[owner].incarnations[&worker.0];
            let delivery = (host, incarnation, command);
            if self.fault_occurs(4) {
                self.counts.increment("answer dropped");
                continue;
            }
            let delay = self.message_delay();
            self.push(
                delay,
                Event::Command(delivery.0, delivery.1, delivery.2.clone()),
            );
            if self.fault_occurs(4) {
                self.counts.increment("answer repeated");
                let delay = self.message_delay();
                self.push(
                    delay,
                    Event::Command(delivery.0, delivery.1, delivery.2.clone()),
                );
            }
            self.last_command = Some(delivery);
        }
    }

    // Hosts.

    fn poll_host(&mut self, host: usize) {
        let this = &mut self.hosts[host];
        if this.agent.is_none() && self.now >= this.restart_at {
            if this.runtime.running().count() > 0 {
                self.counts.increment("adoption after companion restart");
            }
            this.start_agent(host, self.now);
        }
        let local_time = this.clock.read(self.now);
        let Some(agent) = &mut this.agent else {
            return;
        };
        let actions = agent.tick(local_time);
        if agent.is_drained() {
            self.replace_host(host);
            return;
        }
        self.call_runtime(host, actions);
        self.send_report(host, local_time);
    }

    /// Sends the companion's next report unless one is outstanding. One in ten reports goes to the
    /// process that does not hold the owner lease.
    fn send_report(&mut self, host: usize, local_time: Time) {
        let this = &mut self.hosts[host];
        let is_waiting = this
            .outstanding_report
            .is_some_and(|(_, sent_at)| local_time < sent_at.plus_micros(CALL_TIMEOUT));
        let Some(agent) = this.agent.as_mut().filter(|_| !is_waiting) else {
            return;
        };
        let Some(report) = agent.next_report(local_time) else {
            return;
        };
        this.outstanding_report = Some((report.sequence, local_time));
        let holder = self.store.holder.map_or(0, |(holder, _)| holder);
        let owner = if self.fault_occurs(10) {
            1 - holder
        } else {
            holder
        };
        if self.fault_occurs(4) {
            self.counts.increment("report dropped");
            return;
        }
        let delay = self.message_delay();
        if delay > 2 * SECOND {
            self.counts.increment("report delayed over 2 s");
        }
        self.push(delay, Event::Report(owner, report.clone()));
        if self.fault_occurs(4) {
            self.counts.increment("report repeated");
            let delay = self.message_delay();
            self.push(delay, Event::Report(owner, report));
        }
    }

    fn on_command(&mut self, host: usize, incarnation: u64, command: &Command) {
        let this = &mut self.hosts[host];
        let local_time = this.clock.read(self.now);
        if this.incarnation != incarnation {
            return;
        }
        let Some(agent) = &mut this.agent else {
            return;
        };
        if command.epoch < agent.epoch() {
            self.counts.increment("answer of an older epoch");
        }
        let (sequence, sent_at) = this.outstanding_report.unwrap_or((0, Time::ZERO));
        if sequence == command.sequence {
            this.outstanding_report = None;
        } else {
            self.counts.increment("answer to an earlier report");
        }
        let actions = agent.apply_command(command, sent_at, local_time);
        self.call_runtime(host, actions);
    }

    /// Sends calls to the task runtime. A start can be slow, so that the companion gives up on it
    /// before it takes effect.
    fn call_runtime(&mut self, host: usize, actions: Vec<Action>) {
        for action in actions {
            let is_slow = matches!(action, Action::Start { .. }) && self.fault_occurs(12);
            let delay = if is_slow {
                self.rng.random_range(SECOND..6 * SECOND)
            } else {
                self.rng.random_range(500..20 * MILLISECOND)
            };
            let this = &self.hosts[host];
            let (generation, incarnation) = (this.generation, this.incarnation);
            let local_time = this.clock.read(self.now);
            if is_slow && let Action::Start { grant, .. } = &action {
                let agent_event = AgentEvent::Task {
                    task: grant.task.clone(),
                    attempt: grant.attempt,
                    outcome: Outcome::StartUnanswered,
                };
                self.push(
                    SECOND,
                    Event::RuntimeOutcome(host, generation, incarnation, agent_event),
                );
            }
            self.push(
                delay,
                Event::RuntimeCall(host, generation, incarnation, action, local_time),
            );
        }
    }

    fn on_runtime_call(&mut self, host: usize, incarnation: u64, action: Action, called_at: Time) {
        let local_time = self.hosts[host].clock.read(self.now);
        let key = match action {
            Action::Start { grant, deadline } => {
                let key = (grant.task.clone(), grant.attempt);
                let is_new = self.hosts[host]
                    .runtime
                    .start(&grant, deadline, local_time, self.now);
                if is_new {
                    self.on_start(host, incarnation, &key);
                } else if !self.hosts[host].runtime.attempts.contains_key(&key) {
                    self.send_outcome(host, incarnation, &key, Outcome::StartRefused);
                    return;
                }
                key
            }
            Action::Renew {
                task,
                attempt,
                deadline,
            } => {
                if let Some(record) = self.hosts[host].runtime.attempts.get_mut(&(task, attempt)) {
                    record.deadline = record.deadline.max(deadline);
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
                self.hosts[host].runtime.attempts.remove(&(task, attempt));
                return;
            }
            Action::List => {
                let tasks = self.hosts[host].runtime.list();
                let agent_event = AgentEvent::Listed { called_at, tasks };
                self.send_agent_event(host, incarnation, agent_event);
                return;
            }
        };
        let outcome = self.hosts[host].runtime.outcome(&key, called_at);
        self.send_outcome(host, incarnation, &key, outcome);
    }

    fn is_running(&self, host: usize, key: &AttemptKey) -> bool {
        let record = self.hosts[host].runtime.attempts.get(key);
        record.is_some_and(|record| record.state.holds_resources())
    }

    /// Schedules the end of an attempt that has started.
    fn on_start(&mut self, host: usize, incarnation: u64, key: &AttemptKey) {
        self.checker.check_start(key);
        if self.hosts[host].incarnation != incarnation {
            self.counts
                .increment("start of a former companion took effect");
        }
        let fails = self.hosts[host].fails_all_tasks || self.fault_occurs(8);
        let duration = if self.rng.random_range(0..20) == 0 {
            self.rng.random_range(20 * SECOND..60 * SECOND)
        } else {
            self.rng.random_range(200 * MILLISECOND..12 * SECOND)
        };
        let state = if fails {
            TaskState::Failed {
                reason: "exit code 1".to_owned(),
            }
        } else {
            TaskState::Finished
        };
        let generation = self.hosts[host].generation;
        self.push(
            duration,
            Event::TaskEnd(host, generation, key.clone(), state),
        );
    }

    /// Schedules the end of a running attempt that is asked to stop.
    fn stop_task(&mut self, host: usize, key: &AttemptKey, with_checkpoint: bool) {
        if !self.is_running(host, key) {
            return;
        }
        let record = &self.hosts[host].runtime.attempts[key];
        let progress = record.progress_before + 1 + (self.now - record.started_at) / SECOND;
        let checkpoint = with_checkpoint.then(|| progress.to_string());
        if with_checkpoint {
            self.counts.increment("eviction");
        }
        let delay = self.rng.random_range(10 * MILLISECOND..2 * SECOND);
        let generation = self.hosts[host].generation;
        let state = TaskState::Stopped { checkpoint };
        self.push(delay, Event::TaskEnd(host, generation, key.clone(), state));
    }

    fn end_task(&mut self, host: usize, key: &AttemptKey, state: TaskState) {
        if !self.is_running(host, key) {
            return;
        }
        if matches!(state, TaskState::Failed { .. }) {
            self.counts.increment("task failed");
        }
        if let Some(record) = self.hosts[host].runtime.attempts.get_mut(key) {
            record.state = state.clone();
        }
        self.checker.ends.insert(key.clone(), state);
        let outcome = self.hosts[host].runtime.outcome(key, Time::ZERO);
        let incarnation = self.hosts[host].incarnation;
        self.send_outcome(host, incarnation, key, outcome);
    }

    fn send_outcome(&mut self, host: usize, incarnation: u64, key: &AttemptKey, outcome: Outcome) {
        let agent_event = AgentEvent::Task {
            task: key.0.clone(),
            attempt: key.1,
            outcome,
        };
        self.send_agent_event(host, incarnation, agent_event);
    }

    fn send_agent_event(&mut self, host: usize, incarnation: u64, agent_event: AgentEvent) {
        let delay = self.rng.random_range(500..20 * MILLISECOND);
        let generation = self.hosts[host].generation;
        self.push(
            delay,
            Event::RuntimeOutcome(host, generation, incarnation, agent_event),
        );
    }

    /// Ends the attempts whose lease deadline has passed on every runtime.
    fn expire_tasks(&mut self) {
        for host in 0..self.hosts.len() {
            let local_time = self.hosts[host].clock.read(self.now);
            for key in self.hosts[host].runtime.expire(local_time) {
                self.counts
                    .increment("runtime ended a task at its lease deadline");
                let state = TaskState::Stopped { checkpoint: None };
                self.checker.ends.insert(key.clone(), state);
                let incarnation = self.hosts[host].incarnation;
                self.send_outcome(
                    host,
                    incarnation,
                    &key,
                    Outcome::Stopped { checkpoint: None },
                );
            }
        }
    }

    /// Replaces a host by an empty one, and loses its attempts and the calls in flight to it.
    fn replace_host(&mut self, host: usize) {
        let restart_at = self.now + self.rng.random_range(SECOND..20 * SECOND);
        let this = &mut self.hosts[host];
        this.stop_agent(restart_at);
        this.generation += 1;
        this.runtime.attempts.clear();
        this.fails_all_tasks = false;
    }

    // Faults.

    fn inject_fault(&mut self) {
        let host = self.rng.random_range(0..self.hosts.len());
        let owner = self.rng.random_range(0..2);
        match self.rng.random_range(0..100) {
            0..40 => self.submit(),
            40..45 => self.cancel_jobs(1),
            45..46 => self.cancel_jobs(8),
            46..54 => self.evict_tasks(),
            54..58 => {
                let duration = self.rng.random_range(SECOND..25 * SECOND);
                self.pause_owner(owner, duration);
            }
            58..59 => {
                if self.owners[owner].cell.is_some() {
                    self.counts.increment("owner killed");
                }
                self.owners[owner].reset();
            }
            59..61 => self.store.down_until = self.now + self.rng.random_range(SECOND..12 * SECOND),
            61..64 => self.store.slow_until = self.now + self.rng.random_range(SECOND..8 * SECOND),
            64..71 => self.restart_agent(host),
            71..73 => {
                if self.hosts[host].runtime.running().count() > 0 {
                    self.counts.increment("worker lost beside running tasks");
                }
                self.replace_host(host);
            }
            73..75 => self.drain_worker(host),
            75..76 => self.hosts[host].fails_all_tasks = true,
            76..78 => self.hosts[host].fails_all_tasks = false,
            78..81 => self.change_configuration(owner),
            81..92 => self.distribute_configuration(),
            92..97 => self.repeat_command(),
            _ => {}
        }
    }

    /// Submits a new job or repeats an earlier submission. The first job fits no worker.
    fn submit(&mut self) {
        let number = self.specs.len();
        if number >= JOBS_PER_HOST_MAX * self.hosts.len() {
            return;
        }
        let id = job::Id(format!("job{number}"));
        let is_repeat = number > 0 && self.rng.random_range(0..5) == 0;
        let spec = if is_repeat {
            let index = self.rng.random_range(0..number);
            self.specs
                .values()
                .nth(index)
                .expect("the index is below the number of jobs")
                .clone()
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
        let token = self.new_client_call(&spec.id, false);
        let local_time = self.owners[owner].clock.read(self.now);
        let is_paused = self.owners[owner].paused_until > self.now;
        if let Some(cell) = self.owners[owner].cell.as_mut().filter(|_| !is_paused) {
            cell.submit(spec, token, local_time);
        }
    }

    /// Registers a client call that awaits a reply, and returns its token.
    fn new_client_call(&mut self, id: &job::Id, is_cancel: bool) -> u64 {
        self.last_client_call += 1;
        self.client_calls
            .insert(self.last_client_call, (id.clone(), is_cancel));
        self.last_client_call
    }

    fn cancel_jobs(&mut self, count: usize) {
        if count > 1 {
            self.counts.increment("cancellation wave");
        }
        for _ in 0..count {
            if self.specs.is_empty() {
                return;
            }
            let index = self.rng.random_range(0..self.specs.len());
            let id = self
                .specs
                .keys()
                .nth(index)
                .expect("the index is below the number of jobs")
                .clone();
            let is_running = |host: &Host| host.runtime.running().any(|(key, _)| key.0.job == id);
            if self.hosts.iter().any(is_running) {
                self.counts.increment("cancellation beside running tasks");
            }
            let token = self.new_client_call(&id, true);
            for owner in 0..2 {
                let this = &mut self.owners[owner];
                let local_time = this.clock.read(self.now);
                if let Some(cell) = &mut this.cell
                    && this.paused_until <= self.now
                    && local_time < this.ownership_end
                {
                    cell.cancel(&id, token, local_time);
                    break;
                }
            }
        }
    }

    fn evict_tasks(&mut self) {
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

    fn pause_owner(&mut self, owner: usize, duration: u64) {
        let until = self.now + duration;
        let this = &mut self.owners[owner];
        if this.cell.is_some() && this.clock.read(until) > this.ownership_end {
            self.counts.increment("owner paused past its lease");
        }
        this.paused_until = this.paused_until.max(until);
    }

    /// Stops a companion, to be started again later.
    fn restart_agent(&mut self, host: usize) {
        let delay_seconds_max = if self.fault_occurs(40) { 14 } else { 3 };
        let restart_at = self.now
            + self
                .rng
                .random_range(10 * MILLISECOND..delay_seconds_max * SECOND);
        let this = &mut self.hosts[host];
        if this.agent.is_some() && this.runtime.running().count() > 0 {
            self.counts
                .increment("companion restart beside running tasks");
        }
        this.stop_agent(restart_at);
    }

    fn drain_worker(&mut self, host: usize) {
        let this = &mut self.hosts[host];
        let local_time = this.clock.read(self.now);
        let is_running = this.runtime.running().count() > 0;
        if let Some(agent) = &mut this.agent {
            if is_running {
                self.counts.increment("leaving beside running tasks");
            }
            let actions = agent.start_draining(local_time);
            self.call_runtime(host, actions);
        }
    }

    /// Publishes a new configuration revision. Some processes learn that it exists, and the process
    /// `owner` may also receive it.
    fn change_configuration(&mut self, owner: usize) {
        self.revision += 1;
        for (index, this) in self.owners.iter_mut().enumerate() {
            if let Some(cell) = &mut this.cell
                && self.rng.random_range(0..2) == 0
            {
                let held_revision = if index == owner { self.revision } else { 0 };
                cell.configure(sections(), held_revision, self.revision);
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

    /// Delivers the last command again after a delay.
    fn repeat_command(&mut self) {
        if let Some((host, incarnation, command)) = self.last_command.clone() {
            let delay = self.rng.random_range(SECOND..20 * SECOND);
            self.push(delay, Event::Command(host, incarnation, command));
        }
    }

    /// Distributes the newest configuration to every process.
    fn distribute_configuration(&mut self) {
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

    /// Checks that no worker exceeds its capacity, that no task runs on two workers, and that the
    /// state machines have counted no violation themselves.
    fn check_invariants(&mut self) {
        let mut locations: BTreeMap<&task::Id, usize> = BTreeMap::new();
        for (index, host) in self.hosts.iter().enumerate() {
            let used = host.runtime.used_resources();
            assert!(
                used.fits(&host.capacity),
                "capacity-exceeded: w{index} runs {used}"
            );
            for (key, _) in host.runtime.running() {
                let other = locations.insert(&key.0, index);
                assert!(
                    other.is_none(),
                    "task-in-two-places: {} on worker {index} and worker {other:?}",
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
        for (index, host) in self.hosts.iter().enumerate() {
            let current = host.agent.as_ref().map_or(0, Agent::capacity_violations);
            assert_eq!(
                host.former_violations + current,
                0,
                "capacity-counter: w{index} counted a violation"
            );
        }
    }

    /// Ends all faults and starts the recovery phase.
    fn stop_faults(&mut self) {
        self.distribute_configuration();
        self.are_faults_stopped = true;
        self.store.down_until = 0;
        self.store.slow_until = 0;
        for owner in &mut self.owners {
            owner.paused_until = 0;
        }
        for host in &mut self.hosts {
            host.fails_all_tasks = false;
        }
    }

    /// Returns the cell of the process that last acquired the owner lease, if it has taken over.
    fn current_cell(&self) -> Option<&Cell> {
        let (holder, _) = self.store.holder?;
        let cell = self.owners[holder].cell.as_ref()?;
        (cell.epoch() == self.store.epoch && !cell.is_deposed()).then_some(cell)
    }

    /// Returns whether all workers are registered, no attempt runs, and every accepted job is over
    /// or fits no worker.
    fn is_work_done(&self) -> bool {
        let Some(cell) = self.current_cell() else {
            return false;
        };
        let is_over = |id: &job::Id| {
            let status = cell.job_status(id);
            status.is_some_and(|status| status.is_over() || status.unfit.is_some())
        };
        cell.running_attempts() == 0
            && cell.worker_count() == self.hosts.len()
            && self.checker.accepted.iter().all(is_over)
    }

    /// Describes the jobs that are not over and the companions, for the failure message.
    fn describe_unfinished(&self) -> String {
        let statuses = self
            .current_cell()
            .map(Cell::job_statuses)
            .unwrap_or_default();
        let unfinished = statuses.iter().filter(|status| !status.is_over());
        let agents = self.hosts.iter().map(|host| &host.agent);
        let agents: Vec<_> = agents.collect();
        format!("{:?}\n{agents:#?}", unfinished.collect::<Vec<_>>())
    }

    /// Checks that every accepted job that fits no worker is reported so, and that the counts of
    /// every other job, unless cancelled, account for all of its tasks.
    fn check_final_state(&mut self) {
        self.checker.check_store(&self.store);
        let cell = self
            .current_cell()
            .expect("a cell has an owner after recovery");
        for id in &self.checker.accepted {
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
