//! Minimal load model: entries, workers, and the ways between them.

use std::collections::HashMap;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use toucanquay_model::Time;
use toucanquay_policy::route::{self, Decision, Outcome, Release, Ticket};

use crate::{
    deployment::Deployment,
    draw,
    event::{Agenda, Event},
    policy::{Balanced, Baseline, Policy},
    request::Request,
    scenario::{END, SECOND, Scenario, WINDOW},
    tally::{End, Tally},
    worker::Worker,
};

/// Time until a connection to a dead host is given up, in microseconds.
const DEAD_MICROS: u64 = 250_000;

/// Time until the roster expires a worker without heartbeats.
const EXPIRY: u64 = 3 * SECOND;

/// Time in which a broken worker fails a request, in microseconds.
const BROKEN_MICROS: u64 = 300;

/// Worker with the fault of a scenario.
const FAULTY: usize = 3;

/// Mean times with and without usual batch noise, and its factor.
const NOISE_ON: f64 = 2.0 * SECOND as f64;
const NOISE_OFF: f64 = 5.0 * SECOND as f64;
const NOISE: f64 = 1.5;

/// Period, length, width and factor of waves of noise.
const WAVE_PERIOD: u64 = 6 * SECOND;
const WAVE_LENGTH: u64 = 3 * SECOND;
const WAVE_WORKERS: usize = 4;
const WAVE_NOISE: f64 = 3.0;

/// Attempts at one request at the most.
const ATTEMPTS_MAX: u32 = 3;

enum Entry {
    Balanced(Box<Balanced>, HashMap<Ticket, usize>, u64),
    Baseline(Baseline),
}

/// One run of one policy through one scenario.
pub struct Model {
    deployment: Deployment,
    scenario: Scenario,
    policy: Policy,
    now: u64,
    agenda: Agenda,
    entries: Vec<Entry>,
    workers: Vec<Worker>,
    requests: Vec<Request>,
    arrivals: StdRng,
    noise: StdRng,
    choices: StdRng,
    window: Tally,
    whole: Tally,
}

impl Model {
    pub fn new(deployment: Deployment, scenario: Scenario, policy: Policy, seed: u64) -> Self {
        let entry = |entry| match policy {
            Policy::Balancer => {
                Entry::Balanced(Box::new(Balanced::new(entry)), HashMap::new(), u64::MAX)
            }
            _ => Entry::Baseline(Baseline::new(policy)),
        };
        let worker = |_| Worker {
            noise: 1.0,
            ..Worker::default()
        };
        Self {
            deployment,
            scenario,
            policy,
            now: 0,
            agenda: Agenda::default(),
            entries: (0..Deployment::ZONES.len()).map(entry).collect(),
            workers: Deployment::WORKERS.iter().map(worker).collect(),
            requests: Vec::new(),
            arrivals: StdRng::seed_from_u64(seed),
            noise: StdRng::seed_from_u64(seed ^ 1 << 32),
            choices: StdRng::seed_from_u64(seed ^ 2 << 32),
            window: Tally::new(),
            whole: Tally::new(),
        }
    }

    /// Runs to the end and returns the tallies of the window and of the whole run.
    pub fn run(mut self) -> (Tally, Tally) {
        self.schedule_start();
        while let Some((at, event)) = self.agenda.next() {
            self.now = at;
            self.step(event);
        }
        (self.window, self.whole)
    }

    fn schedule_start(&mut self) {
        for entry in 0..self.entries.len() {
            self.agenda.schedule(0, Event::Arrive(entry));
        }
        for worker in 0..self.workers.len() {
            let phase = worker as u64 * SECOND / self.workers.len() as u64;
            self.agenda.schedule(phase, Event::Beat(worker));
            self.plan_noise(worker);
        }
        if self.scenario.has_waves() {
            self.plan_waves();
        }
        if matches!(self.scenario, Scenario::HostLoss | Scenario::BlackHole) {
            let (start, end) = (WINDOW.start, WINDOW.end);
            self.agenda.schedule(start, Event::Fault { is_on: true });
            self.agenda.schedule(end, Event::Fault { is_on: false });
        }
    }

    fn plan_noise(&mut self, worker: usize) {
        let mut at = draw::exponential(NOISE_OFF, &mut self.noise) as u64;
        let mut is_on = true;
        while at < END {
            self.agenda.schedule(at, Event::Noise { worker, is_on });
            let mean = if is_on { NOISE_ON } else { NOISE_OFF };
            at += draw::exponential(mean, &mut self.noise) as u64;
            is_on = !is_on;
        }
    }

    fn plan_waves(&mut self) {
        for start in (WAVE_PERIOD..END).step_by(WAVE_PERIOD as usize) {
            let first = self.noise.random_range(0..self.workers.len());
            let wave = |is_on| Event::Wave { first, is_on };
            self.agenda.schedule(start, wave(true));
            self.agenda.schedule(start + WAVE_LENGTH, wave(false));
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive(entry) => self.arrive(entry),
            Event::Reach(request) => self.reach(request),
            Event::Serve { request, attempt } => self.serve(request, attempt),
            Event::Return {
                request,
                attempt,
                outcome,
            } => self.end_attempt(request, attempt, outcome),
            Event::Beat(worker) => self.beat(worker),
            Event::Report { worker, in_flight } => self.report(worker, in_flight),
            Event::Tick(entry) => self.tick(entry),
            Event::Noise { worker, is_on } => {
                let factor = if is_on { NOISE } else { 1.0 / NOISE };
                self.workers[worker].noise *= factor;
            }
            Event::Wave { first, is_on } => self.wave(first, is_on),
            Event::Fault { is_on } => self.fault(is_on),
            Event::Known { worker, is_known } => self.learn(worker, is_known),
        }
    }

    fn time(&self) -> Time {
        Time::from_micros(self.now)
    }

    fn rate(&self, entry: usize) -> f64 {
        let noise = 1.0 + (NOISE - 1.0) * NOISE_ON / (NOISE_ON + NOISE_OFF);
        let contention = 1.0 + self.deployment.contention();
        let mean = draw::service_mean(self.deployment.service_micros()) * noise * contention;
        let slots = self.workers.len() as f64 * f64::from(Deployment::SLOTS);
        self.scenario.demand(self.now) * slots / mean * Deployment::CLIENTS[entry]
    }

    fn arrive(&mut self, entry: usize) {
        if self.now >= END {
            return;
        }
        let gap = draw::exponential(1.0 / self.rate(entry), &mut self.arrivals);
        let service = draw::service(self.deployment.service_micros(), &mut self.arrivals);
        self.agenda
            .schedule(self.now + (gap as u64).max(1), Event::Arrive(entry));
        let deadline = self.now + self.deployment.deadline_micros();
        self.requests.push(Request {
            entry,
            arrived: self.now,
            deadline,
            service,
            attempt: 0,
            worker: 0,
            key: None,
            sent: 0,
            decision: route::Request::new(Time::from_micros(deadline)),
        });
        self.admit(self.requests.len() - 1);
    }

    fn admit(&mut self, request: usize) {
        let (now, random) = (self.time(), self.choices.random());
        let decision = match &mut self.entries[self.requests[request].entry] {
            Entry::Baseline(baseline) => {
                let worker = baseline.pick(None, &mut self.choices);
                self.send(request, worker);
                return;
            }
            Entry::Balanced(balanced, ..) => {
                let decision = &self.requests[request].decision;
                balanced.balancer.admit(decision, now, random)
            }
        };
        self.follow(request, decision);
    }

    fn follow(&mut self, request: usize, decision: Decision) {
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
            Decision::Shed(_) => self.end(request, End::Refused),
        }
        self.plan_tick(entry);
    }

    fn send(&mut self, request: usize, worker: usize) {
        let record = &mut self.requests[request];
        record.worker = worker;
        record.attempt += 1;
        record.sent = self.now;
        let way = Deployment::way_micros(record.entry, worker);
        self.agenda.schedule(self.now + way, Event::Reach(request));
    }

    fn reach(&mut self, request: usize) {
        let worker = &mut self.workers[self.requests[request].worker];
        if worker.is_dead {
            self.answer(request, DEAD_MICROS, Outcome::Unreachable);
        } else if worker.is_broken {
            self.answer(request, BROKEN_MICROS, Outcome::Failed);
        } else if worker.in_flight() >= self.policy.accepted() {
            self.answer(request, 0, Outcome::Refused);
        } else if worker.has_free_slot() {
            self.occupy(request);
        } else {
            worker.waiting.push_back(request);
        }
    }

    fn occupy(&mut self, request: usize) {
        let record = &self.requests[request];
        let worker = &mut self.workers[record.worker];
        worker.busy.push(request);
        let service = record.service * worker.slow_down(self.deployment.contention());
        let attempt = record.attempt;
        self.agenda
            .schedule(self.now + service as u64, Event::Serve { request, attempt });
    }

    fn serve(&mut self, request: usize, attempt: u32) {
        let record = &self.requests[request];
        let worker = &mut self.workers[record.worker];
        let slot = worker.busy.iter().position(|&busy| busy == request);
        let (Some(slot), true) = (slot, record.attempt == attempt) else {
            return;
        };
        worker.busy.swap_remove(slot);
        let next = worker.waiting.pop_front();
        self.answer(request, 0, Outcome::Succeeded);
        if let Some(next) = next {
            self.occupy(next);
        }
    }

    fn answer(&mut self, request: usize, delay: u64, outcome: Outcome) {
        let record = &self.requests[request];
        let way = Deployment::way_micros(record.entry, record.worker);
        let attempt = record.attempt;
        self.agenda.schedule(
            self.now + delay + way,
            Event::Return {
                request,
                attempt,
                outcome,
            },
        );
    }

    fn end_attempt(&mut self, request: usize, attempt: u32, outcome: Outcome) {
        if self.requests[request].attempt != attempt {
            return;
        }
        self.settle(request, outcome);
        let record = &self.requests[request];
        let in_time = self.now <= record.deadline;
        match outcome {
            Outcome::Succeeded if in_time => self.end(request, End::InTime),
            Outcome::Succeeded => self.end(request, End::Late),
            Outcome::Refused => self.readmit(request),
            _ if in_time && attempt < ATTEMPTS_MAX => self.retry(request),
            _ => self.end(request, End::Failed),
        }
        self.tick(self.requests[request].entry);
    }

    fn settle(&mut self, request: usize, outcome: Outcome) {
        let now = self.time();
        let record = &mut self.requests[request];
        match &mut self.entries[record.entry] {
            Entry::Baseline(baseline) => baseline.finish(record.worker),
            Entry::Balanced(balanced, ..) => {
                let key = record.key.expect("a sent request has a key");
                balanced.finish(key, outcome, self.now - record.sent, now);
            }
        }
    }

    fn readmit(&mut self, request: usize) {
        let (now, random) = (self.time(), self.choices.random());
        let record = &self.requests[request];
        match &mut self.entries[record.entry] {
            Entry::Baseline(_) => self.end(request, End::Refused),
            Entry::Balanced(balanced, ..) => {
                let decision = balanced.balancer.readmit(&record.decision, now, random);
                self.follow(request, decision);
            }
        }
    }

    fn retry(&mut self, request: usize) {
        let (now, random) = (self.time(), self.choices.random());
        let record = &mut self.requests[request];
        match &mut self.entries[record.entry] {
            Entry::Baseline(baseline) => {
                let worker = baseline.pick(Some(record.worker), &mut self.choices);
                self.send(request, worker);
            }
            Entry::Balanced(balanced, ..) => {
                record.decision.excluded.extend(record.key);
                match balanced.balancer.retry(&record.decision, now, random) {
                    Some(decision) => self.follow(request, decision),
                    None => self.end(request, End::Failed),
                }
            }
        }
    }

    fn tick(&mut self, entry: usize) {
        let (now, random) = (self.time(), self.choices.random());
        let Entry::Balanced(balanced, tickets, planned) = &mut self.entries[entry] else {
            return;
        };
        if *planned <= self.now {
            *planned = u64::MAX;
        }
        let mut released = Vec::new();
        for release in balanced.balancer.tick(now, random) {
            let (ticket, decision) = match release {
                Release::Send(ticket, key) => (ticket, Decision::Send(key)),
                Release::Shed(ticket, shed) => (ticket, Decision::Shed(shed)),
            };
            released.push((tickets.remove(&ticket).expect("it waits"), decision));
        }
        for (request, decision) in released {
            self.follow(request, decision);
        }
        self.plan_tick(entry);
    }

    fn plan_tick(&mut self, entry: usize) {
        let Entry::Balanced(balanced, _, planned) = &mut self.entries[entry] else {
            return;
        };
        let Some(at) = balanced.balancer.next_tick() else {
            return;
        };
        let at = at.as_micros().max(self.now + 1);
        if at < *planned {
            *planned = at;
            self.agenda.schedule(at, Event::Tick(entry));
        }
    }

    fn beat(&mut self, worker: usize) {
        if self.now >= END {
            return;
        }
        self.agenda.schedule(self.now + SECOND, Event::Beat(worker));
        let in_flight = self.workers[worker].in_flight() as u32;
        if !self.workers[worker].is_dead {
            let at = self.now + self.scenario.lag();
            self.agenda
                .schedule(at, Event::Report { worker, in_flight });
        }
    }

    fn report(&mut self, worker: usize, in_flight: u32) {
        let now = self.time();
        for entry in 0..self.entries.len() {
            if let Entry::Balanced(balanced, ..) = &mut self.entries[entry] {
                balanced.report(worker, in_flight, now);
            }
            self.tick(entry);
        }
    }

    fn wave(&mut self, first: usize, is_on: bool) {
        let factor = if is_on { WAVE_NOISE } else { 1.0 / WAVE_NOISE };
        for offset in 0..WAVE_WORKERS {
            let worker = (first + offset) % self.workers.len();
            self.workers[worker].noise *= factor;
        }
    }

    fn fault(&mut self, is_on: bool) {
        if self.scenario == Scenario::BlackHole {
            self.workers[FAULTY].is_broken = is_on;
            return;
        }
        self.workers[FAULTY].is_dead = is_on;
        let delay = if is_on { EXPIRY } else { 0 } + self.scenario.lag();
        let known = Event::Known {
            worker: FAULTY,
            is_known: !is_on,
        };
        self.agenda.schedule(self.now + delay, known);
        let mut lost = std::mem::take(&mut self.workers[FAULTY].busy);
        lost.extend(self.workers[FAULTY].waiting.drain(..));
        for request in lost {
            self.answer(request, DEAD_MICROS, Outcome::Unreachable);
        }
    }

    fn learn(&mut self, worker: usize, is_known: bool) {
        let now = self.time();
        for entry in 0..self.entries.len() {
            match &mut self.entries[entry] {
                Entry::Baseline(baseline) => baseline.set_known(worker, is_known),
                Entry::Balanced(balanced, ..) => balanced.set_known(worker, is_known, now),
            }
            self.tick(entry);
        }
    }

    fn end(&mut self, request: usize, end: End) {
        let record = &self.requests[request];
        let micros = self.now - record.arrived + 2 * self.deployment.client_micros();
        self.whole.add(end, micros, record.attempt);
        if WINDOW.contains(&record.arrived) {
            self.window.add(end, micros, record.attempt);
        }
    }
}
