//! Discrete-event simulation: processes, messages in flight and injected faults.

mod checks;
mod clients;
mod event;
mod faults;
mod hosts;
mod owners;
mod runtime_calls;
mod store_calls;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use toucanquay_model::{
    Resources, Section,
    exchange::Command,
    job::{self, Spec},
};

use super::{
    RunParameters, checker::InvariantChecker, clock::Clock, counts::FaultCounts, host::Host,
    owner::Owner, store::Store,
};
use event::Event;

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
}

fn sections() -> BTreeMap<String, Section> {
    BTreeMap::from([("desk".to_owned(), Section::default())])
}
