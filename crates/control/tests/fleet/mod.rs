//! Fleet of simulated hosts under an arriving load, for tests and benchmarks of the scheduler.
//!
//! Hosts carry out orders at once and report each change on the next step. Tasks take the time that
//! their job's step estimates.

mod host;
pub mod load;

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use host::Host;
pub use load::Load;
use toucanquay_control::scheduler::{Scheduler, Settings};
use toucanquay_model::{
    Time,
    graph::{AcceptedJob, Id, Queue, State, Step},
};

/// Length of one simulated step, in microseconds.
const STEP_MICROS: u64 = 5_000;

/// Time after which the store answers a commit, in microseconds.
const COMMIT_MICROS: u64 = 8_000;

/// Wall-clock time at the start of the simulation, in milliseconds since the Unix epoch.
const START_UNIX_MS: u64 = 5_000_000;

/// Name of the pool of all workers.
pub const POOL: &str = "desk";

/// Processor time that the scheduler has used, by kind of work.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cost {
    pub updates: Duration,
    pub ticks: Duration,
    pub orders: Duration,
    pub commits: Duration,
}

impl Cost {
    pub fn total(&self) -> Duration {
        self.updates + self.ticks + self.orders + self.commits
    }
}

/// What a client saw of its job.
#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    pub accepted_at: Time,
    pub started_at: Option<Time>,
    pub done_at: Option<Time>,
}

/// A scheduler and its hosts.
pub struct Fleet {
    pub scheduler: Scheduler,
    pub now: Time,
    pub cost: Cost,
    pub starts: u64,
    pub outcomes: BTreeMap<Id, (&'static str, Outcome)>,
    hosts: Vec<Host>,
    host_indices: HashMap<String, usize>,
    estimates: HashMap<Id, Vec<u64>>,
    commit_due_at: Option<Time>,
    revision: u64,
    next_job: u64,
}

impl Fleet {
    /// Returns a fleet of connected, idle hosts.
    pub fn new(hosts: usize) -> Self {
        let now = Time::from_millis(1_000_000);
        let mut scheduler = Scheduler::new(Settings::default(), 1, [], now);
        scheduler.extend_ownership(Time::NEVER);
        let hosts: Vec<Host> = (0..hosts).map(Host::new).collect();
        for host in &hosts {
            scheduler.connect(&host.name);
        }
        let names = hosts.iter().enumerate();
        Self {
            scheduler,
            now,
            cost: Cost::default(),
            starts: 0,
            outcomes: BTreeMap::new(),
            host_indices: names
                .map(|(index, host)| (host.name.clone(), index))
                .collect(),
            hosts,
            estimates: HashMap::new(),
            commit_due_at: None,
            revision: 1,
            next_job: 0,
        }
    }

    /// Hands in a job.
    pub fn submit(&mut self, queue: &'static str, policy: Queue, steps: Vec<Step>) -> Id {
        self.next_job += 1;
        let id = Id::new(self.next_job);
        let estimates = steps.iter().map(|step| step.estimate_ms).collect();
        self.estimates.insert(id, estimates);
        let accepted_job = AcceptedJob {
            queue: queue.to_owned(),
            policy,
            unix_ms: self.unix_ms(),
            job: toucanquay_model::graph::Job {
                payload: "payload".to_owned(),
                steps,
                schedule: None,
            },
        };
        self.scheduler.accept(id, accepted_job, self.now);
        let outcome = Outcome {
            accepted_at: self.now,
            started_at: None,
            done_at: None,
        };
        self.outcomes.insert(id, (queue, outcome));
        id
    }

    /// Advances the simulation by one step.
    pub fn step(&mut self) {
        self.now = self.now.plus_micros(STEP_MICROS);
        let (now, unix_ms) = (self.now, self.unix_ms());
        self.scheduler.set_wall_clock(unix_ms, now);
        let started = Instant::now();
        for host in &mut self.hosts {
            host.finish_attempts(now);
            if let Some(update) = host.due_update(now) {
                self.scheduler.update(&update, now);
            }
        }
        self.cost.updates += started.elapsed();
        let started = Instant::now();
        self.scheduler.tick(now);
        self.cost.ticks += started.elapsed();
        let started = Instant::now();
        self.run_commits();
        self.cost.commits += started.elapsed();
        let started = Instant::now();
        self.deliver_orders();
        self.cost.orders += started.elapsed();
        self.scheduler.take_events();
        self.record_done_jobs();
    }

    /// Runs the simulation for a time.
    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis * 1_000 / STEP_MICROS {
            self.step();
        }
    }

    /// Returns the time from acceptance to the first start, in milliseconds, of each job of a queue
    /// in ascending order. Jobs that have not started count until now.
    pub fn first_start_millis(&self, queue: &str) -> Vec<u64> {
        let delay = |outcome: &Outcome| {
            let started_at = outcome.started_at.unwrap_or(self.now);
            started_at.micros_since(outcome.accepted_at) / 1_000
        };
        let outcomes = self.outcomes.values().filter(|(name, _)| *name == queue);
        let mut delays: Vec<u64> = outcomes.map(|(_, outcome)| delay(outcome)).collect();
        delays.sort_unstable();
        delays
    }

    fn unix_ms(&self) -> u64 {
        START_UNIX_MS + self.now.as_millis()
    }

    fn run_commits(&mut self) {
        let now = self.now;
        if self.commit_due_at.is_some_and(|due_at| now >= due_at) {
            self.commit_due_at = None;
            self.revision += 1;
            self.scheduler.commit_succeeded(self.revision);
        }
        if self.commit_due_at.is_none() && self.scheduler.next_commit(now).is_some() {
            self.commit_due_at = Some(now.plus_micros(COMMIT_MICROS));
        }
    }

    fn deliver_orders(&mut self) {
        let now = self.now;
        for name in self.scheduler.due_hosts(now) {
            let Some(orders) = self.scheduler.orders(&name, now) else {
                continue;
            };
            let host = &mut self.hosts[self.host_indices[&name]];
            host.acknowledge(&orders);
            for stop in &orders.stops {
                host.stop(stop);
            }
            for start in &orders.starts {
                let estimates = &self.estimates[&start.task.job];
                let ends_at = now.plus_millis(estimates[usize::from(start.task.step)]);
                host.start(start, ends_at);
                self.starts += 1;
                let (_, outcome) = self
                    .outcomes
                    .get_mut(&start.task.job)
                    .expect("each start belongs to a job that was handed in");
                outcome.started_at.get_or_insert(now);
            }
        }
    }

    fn record_done_jobs(&mut self) {
        for (id, (_, outcome)) in &mut self.outcomes {
            if outcome.done_at.is_none() && self.scheduler.job_state(*id) == Some(State::Done) {
                outcome.done_at = Some(self.now);
            }
        }
    }
}
