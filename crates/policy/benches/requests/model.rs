//! Minimal discrete-event model of entries, workers and the network between them.

use std::collections::HashMap;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use toucanquay_model::Time;
use toucanquay_policy::route::{self, Decision, Outcome, Release, Ticket};

use crate::{
    deployment::Deployment,
    event::{Event, EventQueue},
    policy::{BalancedEntry, Baseline, Policy},
    request::Request,
    sample,
    scenario::{RUN_MICROS, SECOND, Scenario, WINDOW},
    stats::{Completion, Stats},
    worker::Worker,
};

/// Timeout of a connection to a dead host, in microseconds.
const CONNECT_TIMEOUT_MICROS: u64 = 250_000;

/// Time after which an entry removes a worker without heartbeats, in microseconds.
const HEARTBEAT_EXPIRY_MICROS: u64 = 3 * SECOND;

/// Time that a broken worker takes to fail a request, in microseconds.
const FAILURE_MICROS: u64 = 300;

/// Index of the worker with the fault of a scenario.
const FAULTY_WORKER: usize = 3;

/// Mean durations with and without regular batch load, in microseconds, and its factor on service
/// times.
const NOISE_ON_MEAN: f64 = 2.0 * SECOND as f64;
const NOISE_OFF_MEAN: f64 = 5.0 * SECOND as f64;
const NOISE_FACTOR: f64 = 1.5;

/// Waves of batch load: period and duration in microseconds, number of workers, and factor on
/// service times.
const WAVE_PERIOD: u64 = 6 * SECOND;
const WAVE_LENGTH: u64 = 3 * SECOND;
const WAVE_WORKERS: usize = 4;
const WAVE_FACTOR: f64 = 3.0;

/// Maximum number of attempts at one request.
const ATTEMPTS_MAX: u32 = 3;

enum Entry {
    Balanced(Box<BalancedEntry>, HashMap<Ticket, usize>, u64),
    Baseline(Baseline),
}

/// Simulation of one policy in one scenario.
pub struct Model {
    deployment: Deployment,
    scenario: Scenario,
    policy: Policy,
    now: u64,
    events: EventQueue,
    entries: Vec<Entry>,
    workers: Vec<Worker>,
    requests: Vec<Request>,
    arrival_rng: StdRng,
    noise_rng: StdRng,
    choice_rng: StdRng,
    window: Stats,
    whole: Stats,
}

impl Model {
    pub fn new(deployment: Deployment, scenario: Scenario, policy: Policy, seed: u64) -> Self {
        let entry = |entry| match policy {
            Policy::Balancer => Entry::Balanced(
                Box::new(BalancedEntry::new(entry)),
                HashMap::new(),
                u64::MAX,
            ),
            _ => Entry::Baseline(Baseline::new(policy)),
        };
        let worker = |_| Worker {
            noise_factor: 1.0,
            ..Worker::default()
        };
        Self {
            deployment,
            scenario,
            policy,
            now: 0,
            events: EventQueue::default(),
            entries: (0..Deployment::ZONES.len()).map(entry).collect(),
            workers: Deployment::WORKER_ZONES.iter().map(worker).collect(),
            requests: Vec::new(),
            arrival_rng: StdRng::seed_from_u64(seed),
            noise_rng: StdRng::seed_from_u64(seed ^ 1 << 32),
            choice_rng: StdRng::seed_from_u64(seed ^ 2 << 32),
            window: Stats::new(),
            whole: Stats::new(),
        }
    }

    /// Runs the simulation and returns the statistics of the window and of the whole run.
    pub fn run(mut self) -> (Stats, Stats) {
        self.schedule_start();
        while let Some((at, event)) = self.events.next() {
            self.now = at;
            self.handle(event);
        }
        (self.window, self.whole)
    }

    fn schedule_start(&mut self) {
        for entry in 0..self.entries.len() {
            self.events.schedule(0, Event::ClientArrival(entry));
        }
        for worker in 0..self.workers.len() {
            let phase = worker as u64 * SECOND / self.workers.len() as u64;
            self.events.schedule(phase, Event::HeartbeatSent(worker));
            self.schedule_noise(worker);
        }
        if self.scenario.has_waves() {
            self.schedule_waves();
        }
        if matches!(self.scenario, Scenario::HostLoss | Scenario::BlackHole) {
            let (start, end) = (WINDOW.start, WINDOW.end);
            self.events.schedule(start, Event::Fault { is_on: true });
            self.events.schedule(end, Event::Fault { is_on: false });
        }
    }

    fn schedule_noise(&mut self, worker: usize) {
        let mut at = sample::exponential(NOISE_OFF_MEAN, &mut self.noise_rng) as u64;
        let mut is_on = true;
        while at < RUN_MICROS {
            self.events
                .schedule(at, Event::BatchNoise { worker, is_on });
            let mean = if is_on { NOISE_ON_MEAN } else { NOISE_OFF_MEAN };
            at += sample::exponential(mean, &mut self.noise_rng) as u64;
            is_on = !is_on;
        }
    }

    fn schedule_waves(&mut self) {
        for start in (WAVE_PERIOD..RUN_MICROS).step_by(WAVE_PERIOD as usize) {
            let first_worker = self.noise_rng.random_range(0..self.workers.len());
            let event = |is_on| Event::NoiseWave {
                first_worker,
                is_on,
            };
            self.events.schedule(start, event(true));
            self.events.schedule(start + WAVE_LENGTH, event(false));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ClientArrival(entry) => self.client_arrives(entry),
            Event::WorkerArrival(request) => self.arrive_at_worker(request),
            Event::ServiceEnd { request, attempt } => self.finish_service(request, attempt),
            Event::Response {
                request,
                attempt,
                outcome,
            } => self.handle_response(request, attempt, outcome),
            Event::HeartbeatSent(worker) => self.send_heartbeat(worker),
            Event::HeartbeatReceived { worker, in_flight } => self.on_heartbeat(worker, in_flight),
            Event::Tick(entry) => self.tick(entry),
            Event::BatchNoise { worker, is_on } => {
                let factor = if is_on {
                    NOISE_FACTOR
                } else {
                    1.0 / NOISE_FACTOR
                };
                self.workers[worker].noise_factor *= factor;
            }
            Event::NoiseWave {
                first_worker,
                is_on,
            } => self.apply_wave(first_worker, is_on),
            Event::Fault { is_on } => self.apply_fault(is_on),
            Event::MembershipChange { worker, is_member } => self.set_member(worker, is_member),
        }
    }

    fn time(&self) -> Time {
        Time::from_micros(self.now)
    }

    fn arrival_rate(&self, entry: usize) -> f64 {
        let noise = 1.0 + (NOISE_FACTOR - 1.0) * NOISE_ON_MEAN / (NOISE_ON_MEAN + NOISE_OFF_MEAN);
        let contention = 1.0 + self.deployment.contention();
        let mean = sample::service_time_mean(self.deployment.service_micros()) * noise * contention;
        let slots = self.workers.len() as f64 * f64::from(Deployment::SLOTS);
        self.scenario.demand(self.now) * slots / mean * Deployment::CLIENT_SHARES[entry]
    }

    fn client_arrives(&mut self, entry: usize) {
        if self.now >= RUN_MICROS {
            return;
        }
        let gap = sample::exponential(1.0 / self.arrival_rate(entry), &mut self.arrival_rng);
        let service_micros =
            sample::service_time(self.deployment.service_micros(), &mut self.arrival_rng);
        self.events
            .schedule(self.now + (gap as u64).max(1), Event::ClientArrival(entry));
        let deadline = self.now + self.deployment.deadline_micros();
        self.requests.push(Request {
            entry,
            arrived_at: self.now,
            deadline,
            service_micros,
            attempt: 0,
            worker: 0,
            key: None,
            sent_at: 0,
            routing: route::Request::new(Time::from_micros(deadline)),
        });
        self.admit(self.requests.len() - 1);
    }

    fn admit(&mut self, request: usize) {
        let (now, random) = (self.time(), self.choice_rng.random());
        let decision = match &mut self.entries[self.requests[request].entry] {
            Entry::Baseline(baseline) => {
                let worker = baseline.pick(None, &mut self.choice_rng);
                self.send(request, worker);
                return;
            }
            Entry::Balanced(balanced, ..) => {
                let routing = &self.requests[request].routing;
                balanced.balancer.admit(routing, now, random)
            }
        };
        self.apply_decision(request, decision);
    }

    fn apply_decision(&mut self, request: usize, decision: Decision) {
        let entry = self.requests[request].entry;
        let Entry::Balanced(balanced, tickets, _) = &mut self.entries[entry] else {
            return;
        };
        match decision {
            Decision::Send(key) => {
                let worker = balanced.worker(key).expect("the key is current");
                self.requests[request].key = Some(key);
                self.send(request, worker);
            }
            Decision::Wait(ticket) => {
                tickets.insert(ticket, request);
            }
            Decision::Shed(_) => self.record_end(request, Completion::Refused),
        }
        self.schedule_tick(entry);
    }

    fn send(&mut self, request: usize, worker: usize) {
        let record = &mut self.requests[request];
        record.worker = worker;
        record.attempt += 1;
        record.sent_at = self.now;
        let network_micros = Deployment::network_micros(record.entry, worker);
        self.events
            .schedule(self.now + network_micros, Event::WorkerArrival(request));
    }

    fn arrive_at_worker(&mut self, request: usize) {
        let worker = &mut self.workers[self.requests[request].worker];
        if worker.is_dead {
            self.schedule_response(request, CONNECT_TIMEOUT_MICROS, Outcome::Unreachable);
        } else if worker.is_broken {
            self.schedule_response(request, FAILURE_MICROS, Outcome::Failed);
        } else if worker.in_flight() >= self.policy.companion_capacity() {
            self.schedule_response(request, 0, Outcome::Refused);
        } else if worker.has_free_slot() {
            self.start_service(request);
        } else {
            worker.waiting.push_back(request);
        }
    }

    fn start_service(&mut self, request: usize) {
        let record = &self.requests[request];
        let worker = &mut self.workers[record.worker];
        worker.in_service.push(request);
        let service = record.service_micros * worker.service_factor(self.deployment.contention());
        let attempt = record.attempt;
        self.events.schedule(
            self.now + service as u64,
            Event::ServiceEnd { request, attempt },
        );
    }

    fn finish_service(&mut self, request: usize, attempt: u32) {
        let record = &self.requests[request];
        let worker = &mut self.workers[record.worker];
        let slot = worker
            .in_service
            .iter()
            .position(|&in_service| in_service == request);
        let (Some(slot), true) = (slot, record.attempt == attempt) else {
            return;
        };
        worker.in_service.swap_remove(slot);
        let next = worker.waiting.pop_front();
        self.schedule_response(request, 0, Outcome::Succeeded);
        if let Some(next) = next {
            self.start_service(next);
        }
    }

    fn schedule_response(&mut self, request: usize, delay: u64, outcome: Outcome) {
        let record = &self.requests[request];
        let network_micros = Deployment::network_micros(record.entry, record.worker);
        let attempt = record.attempt;
        self.events.schedule(
            self.now + delay + network_micros,
            Event::Response {
                request,
                attempt,
                outcome,
            },
        );
    }

    fn handle_response(&mut self, request: usize, attempt: u32, outcome: Outcome) {
        if self.requests[request].attempt != attempt {
            return;
        }
        self.finish_attempt(request, outcome);
        let record = &self.requests[request];
        let in_time = self.now <= record.deadline;
        match outcome {
            Outcome::Succeeded if in_time => self.record_end(request, Completion::InTime),
            Outcome::Succeeded => self.record_end(request, Completion::Late),
            Outcome::Refused => self.readmit(request),
            _ if in_time && attempt < ATTEMPTS_MAX => self.retry(request),
            _ => self.record_end(request, Completion::Failed),
        }
        self.tick(self.requests[request].entry);
    }

    fn finish_attempt(&mut self, request: usize, outcome: Outcome) {
        let now = self.time();
        let record = &mut self.requests[request];
        match &mut self.entries[record.entry] {
            Entry::Baseline(baseline) => baseline.finish(record.worker),
            Entry::Balanced(balanced, ..) => {
                let key = record.key.expect("a sent request has a key");
                balanced.finish(key, outcome, self.now - record.sent_at, now);
            }
        }
    }

    fn readmit(&mut self, request: usize) {
        let (now, random) = (self.time(), self.choice_rng.random());
        let record = &self.requests[request];
        match &mut self.entries[record.entry] {
            Entry::Baseline(_) => self.record_end(request, Completion::Refused),
            Entry::Balanced(balanced, ..) => {
                let decision = balanced.balancer.readmit(&record.routing, now, random);
                self.apply_decision(request, decision);
            }
        }
    }

    fn retry(&mut self, request: usize) {
        let (now, random) = (self.time(), self.choice_rng.random());
        let record = &mut self.requests[request];
        match &mut self.entries[record.entry] {
            Entry::Baseline(baseline) => {
                let worker = baseline.pick(Some(record.worker), &mut self.choice_rng);
                self.send(request, worker);
            }
            Entry::Balanced(balanced, ..) => {
                record.routing.excluded.extend(record.key);
                match balanced.balancer.retry(&record.routing, now, random) {
                    Some(decision) => self.apply_decision(request, decision),
                    None => self.record_end(request, Completion::Failed),
                }
            }
        }
    }

    fn tick(&mut self, entry: usize) {
        let (now, random) = (self.time(), self.choice_rng.random());
        let Entry::Balanced(balanced, tickets, scheduled_tick) = &mut self.entries[entry] else {
            return;
        };
        if *scheduled_tick <= self.now {
            *scheduled_tick = u64::MAX;
        }
        let mut released = Vec::new();
        for release in balanced.balancer.tick(now, random) {
            let (ticket, decision) = match release {
                Release::Send(ticket, key) => (ticket, Decision::Send(key)),
                Release::Shed(ticket, shed) => (ticket, Decision::Shed(shed)),
            };
            released.push((
                tickets.remove(&ticket).expect("the ticket is waiting"),
                decision,
            ));
        }
        for (request, decision) in released {
            self.apply_decision(request, decision);
        }
        self.schedule_tick(entry);
    }

    fn schedule_tick(&mut self, entry: usize) {
        let Entry::Balanced(balanced, _, scheduled_tick) = &mut self.entries[entry] else {
            return;
        };
        let Some(at) = balanced.balancer.next_tick() else {
            return;
        };
        let at = at.as_micros().max(self.now + 1);
        if at < *scheduled_tick {
            *scheduled_tick = at;
            self.events.schedule(at, Event::Tick(entry));
        }
    }

    fn send_heartbeat(&mut self, worker: usize) {
        if self.now >= RUN_MICROS {
            return;
        }
        self.events
            .schedule(self.now + SECOND, Event::HeartbeatSent(worker));
        let in_flight = self.workers[worker].in_flight() as u32;
        if !self.workers[worker].is_dead {
            let at = self.now + self.scenario.report_lag();
            self.events
                .schedule(at, Event::HeartbeatReceived { worker, in_flight });
        }
    }

    fn on_heartbeat(&mut self, worker: usize, in_flight: u32) {
        let now = self.time();
        for entry in 0..self.entries.len() {
            if let Entry::Balanced(balanced, ..) = &mut self.entries[entry] {
                balanced.receive_heartbeat(worker, in_flight, now);
            }
            self.tick(entry);
        }
    }

    fn apply_wave(&mut self, first_worker: usize, is_on: bool) {
        let factor = if is_on {
            WAVE_FACTOR
        } else {
            1.0 / WAVE_FACTOR
        };
        for offset in 0..WAVE_WORKERS {
            let worker = (first_worker + offset) % self.workers.len();
            self.workers[worker].noise_factor *= factor;
        }
    }

    fn apply_fault(&mut self, is_on: bool) {
        if self.scenario == Scenario::BlackHole {
            self.workers[FAULTY_WORKER].is_broken = is_on;
            return;
        }
        self.workers[FAULTY_WORKER].is_dead = is_on;
        let delay = if is_on { HEARTBEAT_EXPIRY_MICROS } else { 0 } + self.scenario.report_lag();
        let change = Event::MembershipChange {
            worker: FAULTY_WORKER,
            is_member: !is_on,
        };
        self.events.schedule(self.now + delay, change);
        let mut lost = std::mem::take(&mut self.workers[FAULTY_WORKER].in_service);
        lost.extend(self.workers[FAULTY_WORKER].waiting.drain(..));
        for request in lost {
            self.schedule_response(request, CONNECT_TIMEOUT_MICROS, Outcome::Unreachable);
        }
    }

    fn set_member(&mut self, worker: usize, is_member: bool) {
        let now = self.time();
        for entry in 0..self.entries.len() {
            match &mut self.entries[entry] {
                Entry::Baseline(baseline) => baseline.set_member(worker, is_member),
                Entry::Balanced(balanced, ..) => balanced.set_member(worker, is_member, now),
            }
            self.tick(entry);
        }
    }

    fn record_end(&mut self, request: usize, end: Completion) {
        let record = &self.requests[request];
        let micros = self.now - record.arrived_at + 2 * self.deployment.client_micros();
        self.whole.add(end, micros, record.attempt);
        if WINDOW.contains(&record.arrived_at) {
            self.window.add(end, micros, record.attempt);
        }
    }
}
