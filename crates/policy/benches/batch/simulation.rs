//! Simulation of workers, lookups and batch tasks.

use std::collections::{BTreeMap, VecDeque};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use toucanquay_model::{Attempt, Resources, Time, exchange::TaskUsage, job, task, worker};
use toucanquay_policy::{
    batch::{Job, Outcome, WorkerResources},
    interfere::Advice,
};

use crate::{
    deployment::Deployment,
    host::Host,
    kind::Kind,
    lookups::Lookups,
    measurements::Measurements,
    policy::Policy,
    random::{self, RUN_SIGMA},
    run::Run,
    scenario::Scenario,
    scheduler::Scheduler,
    task::Task,
    usage_report::UsageReport,
};

/// Time step of the simulation, in microseconds. Lookups arrive at arbitrary times within a step.
const STEP_MICROS: u64 = 200_000;

/// Window of usage reports, in microseconds.
const WINDOW_MICROS: u64 = 1_000_000;

/// Time before measurements start, in seconds.
const WARM_UP_SECONDS: u64 = 300;

/// Offered batch work relative to the processor capacity. It exceeds one so that arrivals do not
/// limit throughput.
const OFFERED_LOAD: f64 = 1.05;

/// Longest wait of a lookup for a slot, in microseconds. Lookups that would wait longer are
/// refused.
const LOOKUP_WAIT_MAX_MICROS: u64 = 2_000_000;

/// Time until a task on a lost worker may start elsewhere, in microseconds: the lease bound plus a
/// margin.
const LEASE_MICROS: u64 = 11_000_000;

/// State of a simulation run.
#[derive(Debug)]
pub struct Simulation {
    deployment: Deployment,
    scenario: Scenario,
    scheduler: Scheduler,
    hosts: Vec<Host>,
    workers: Vec<WorkerResources>,
    tasks: BTreeMap<task::Id, Task>,
    reports: VecDeque<UsageReport>,
    /// Tasks to push again, by time.
    retries: BTreeMap<(u64, task::Id), ()>,
    /// Time of the next job arrival of each kind, in microseconds.
    arrivals: Vec<u64>,
    next_lookup: u64,
    jobs: u64,
    now: u64,
    lookup_rng: StdRng,
    batch_rng: StdRng,
    measurements: Measurements,
}

impl Simulation {
    pub fn new(deployment: Deployment, scenario: Scenario, policy: Policy, seed: u64) -> Self {
        let capacity = deployment.capacity();
        let ids = (0..Deployment::WORKERS).map(|index| worker::Id(format!("w{index}")));
        let workers: Vec<WorkerResources> =
            ids.map(|id| WorkerResources::new(id, capacity)).collect();
        let mut scheduler = Scheduler::new(policy);
        for resources in &workers {
            scheduler.add_worker(&resources.worker, capacity, Time::ZERO);
        }
        let host = |resources: &WorkerResources| Host {
            id: resources.worker.clone(),
            lookups: Lookups::new(),
            runs: Vec::new(),
            is_lost: false,
            slowdown: 0.0,
        };
        Self {
            deployment,
            scenario,
            scheduler,
            hosts: workers.iter().map(host).collect(),
            workers,
            tasks: BTreeMap::new(),
            reports: VecDeque::new(),
            retries: BTreeMap::new(),
            arrivals: vec![0; deployment.kinds().len()],
            next_lookup: 0,
            jobs: 0,
            now: 0,
            lookup_rng: StdRng::seed_from_u64(seed),
            batch_rng: StdRng::seed_from_u64(seed ^ 0x5eed),
            measurements: Measurements::new(),
        }
    }

    /// Simulates the warm-up and then `seconds`, and returns the measurements of the latter.
    pub fn run(mut self, seconds: u64) -> Measurements {
        let end = (WARM_UP_SECONDS + seconds) * 1_000_000;
        while self.now < end {
            self.step();
            if self.now == WARM_UP_SECONDS * 1_000_000 {
                self.measurements = Measurements::new();
            }
        }
        self.measurements.seconds = seconds;
        self.count_waiting();
        self.measurements
    }

    fn step(&mut self) {
        self.update_lost_hosts();
        self.submit_jobs();
        self.serve_lookups();
        self.now += STEP_MICROS;
        self.advance_tasks();
        if self.now.is_multiple_of(WINDOW_MICROS) {
            self.send_reports();
        }
        self.deliver_reports();
        self.advise();
        self.push_retries();
        self.assign();
        self.update_slowdowns();
    }

    const fn time(&self) -> Time {
        Time::from_micros(self.now)
    }

    fn seconds(&self) -> f64 {
        self.now as f64 / 1e6
    }

    fn update_lost_hosts(&mut self) {
        for index in 0..self.hosts.len() {
            let is_lost = self.scenario.is_lost(index, self.seconds());
            if is_lost == self.hosts[index].is_lost {
                continue;
            }
            self.hosts[index].is_lost = is_lost;
            if is_lost {
                for run in std::mem::take(&mut self.hosts[index].runs) {
                    self.end_run(index, &run, Outcome::Stopped);
                    let due_at = self.now + LEASE_MICROS;
                    self.retries.insert((due_at, run.id), ());
                }
                self.workers[index].free = Resources::ZERO;
                self.scheduler.remove_worker(&self.hosts[index].id);
            } else {
                let capacity = self.deployment.capacity();
                self.workers[index].free = capacity;
                let now = self.time();
                self.scheduler
                    .add_worker(&self.hosts[index].id, capacity, now);
            }
        }
    }

    /// Submits the jobs that arrive in this step.
    fn submit_jobs(&mut self) {
        let kinds = self.deployment.kinds();
        let capacity = f64::from(self.deployment.capacity().processors_milli) / 1_000.0;
        let capacity = capacity * Deployment::WORKERS as f64;
        for (index, kind) in kinds.iter().enumerate() {
            let job_work = kind.work_mean() * f64::from(kind.tasks_per_job);
            let per_second = OFFERED_LOAD * capacity * kind.work_share / job_work;
            while self.arrivals[index] <= self.now {
                self.submit(kind, kind.tasks_per_job);
                let interval = random::exponential(&mut self.batch_rng, per_second);
                self.arrivals[index] += (interval * 1e6) as u64;
            }
        }
        if self.scenario == Scenario::Cancellation {
            self.submit_and_cancel_jobs(&kinds[1]);
        }
    }

    /// Submits two large jobs every five minutes and cancels them one minute later.
    fn submit_and_cancel_jobs(&mut self, kind: &'static Kind) {
        let period = 300_000_000;
        if self.now % period == 100_000_000 {
            for _ in 0..2 {
                self.submit(kind, 10_000);
            }
        }
        if self.now % period == 160_000_000 {
            let mut cancelled: Vec<_> = self.tasks.values().map(|task| &task.job.id).collect();
            cancelled.dedup();
            let is_cancelled = |id: &&_| {
                let last = task::Id::new(Clone::clone(*id), 9_999);
                self.tasks.contains_key(&last)
            };
            let cancelled: Vec<_> = cancelled
                .into_iter()
                .filter(is_cancelled)
                .cloned()
                .collect();
            for id in cancelled {
                self.scheduler.remove_job(&id, self.time());
                self.stop_job(&id);
            }
        }
    }

    fn stop_job(&mut self, job: &job::Id) {
        for index in 0..self.hosts.len() {
            let runs = std::mem::take(&mut self.hosts[index].runs);
            let (stopped, kept) = runs.into_iter().partition(|run| run.id.job == *job);
            self.hosts[index].runs = kept;
            let stopped: Vec<Run> = stopped;
            for run in stopped {
                self.end_run(index, &run, Outcome::Stopped);
            }
        }
        self.tasks.retain(|id, _| id.job != *job);
        self.retries.retain(|(_, id), ()| id.job != *job);
    }

    fn submit(&mut self, kind: &'static Kind, tasks: u32) {
        self.jobs += 1;
        let job = Job {
            id: format!("{}-{}", kind.name, self.jobs).as_str().into(),
            team: "team".to_owned(),
            kind: kind.name.to_owned(),
            demand: kind.declared,
            urgency: job::Urgency::Normal,
            finish_by: None,
        };
        for index in 0..tasks {
            let rng = &mut self.batch_rng;
            let mut remaining_seconds = random::log_normal(rng, kind.run_median_seconds, RUN_SIGMA);
            if rng.random::<f64>() < kind.long_share {
                remaining_seconds *= kind.long_factor;
            }
            let task = Task {
                kind,
                job: job.clone(),
                remaining_seconds,
                submitted_at: self.now,
                has_started: false,
                is_noisy: rng.random::<bool>(),
            };
            self.tasks
                .insert(task::Id::new(job.id.clone(), index), task);
        }
        let now = self.time();
        self.scheduler.push(&job, 0..tasks, now);
    }

    /// Handles the lookups that arrive in this step, each on the less loaded of two random workers.
    fn serve_lookups(&mut self) {
        let end = self.now + STEP_MICROS;
        while self.next_lookup < end {
            let now = self.next_lookup.max(self.now);
            let seconds = now as f64 / 1e6;
            self.serve_lookup(now, self.scenario.is_peak(seconds));
            let rate = self.deployment.lookups_per_second() * self.scenario.demand_factor(seconds);
            let interval = random::exponential(&mut self.lookup_rng, rate);
            self.next_lookup = now + (interval * 1e6) as u64;
        }
    }

    fn serve_lookup(&mut self, now: u64, is_peak: bool) {
        let first = self.random_host();
        let second = self.random_host();
        let load = |index: usize| {
            let lookups = &self.hosts[index].lookups;
            (lookups.wait(now), lookups.slots_in_use(now))
        };
        let index = if load(first) <= load(second) {
            first
        } else {
            second
        };
        let host = &mut self.hosts[index];
        if host.lookups.wait(now) > LOOKUP_WAIT_MAX_MICROS {
            self.measurements.refused += 1;
            return;
        }
        let micros = host
            .lookups
            .handle(now, host.slowdown, &mut self.lookup_rng);
        let micros = micros + self.deployment.round_trip_micros();
        let record = |histogram: &mut hdrhistogram::Histogram<u64>| {
            histogram.record(micros).expect("histograms resize");
        };
        record(&mut self.measurements.lookups);
        if is_peak {
            record(&mut self.measurements.at_peak);
        }
    }

    fn random_host(&mut self) -> usize {
        loop {
            let index = self.lookup_rng.random_range(0..self.hosts.len());
            if !self.hosts[index].is_lost {
                return index;
            }
        }
    }

    /// Advances all tasks by one step and ends those that finish or fail.
    fn advance_tasks(&mut self) {
        for index in 0..self.hosts.len() {
            let speed = self.speed(index);
            let fails_tasks = self.scenario.fails_tasks(index);
            let mut ended = Vec::new();
            for (position, run) in self.hosts[index].runs.iter().enumerate() {
                let task = self.tasks.get_mut(&run.id).expect("every run has a task");
                let share = f64::from(run.share_percent) / 100.0;
                let progress = STEP_MICROS as f64 / 1e6 * share * speed;
                task.remaining_seconds -= progress;
                self.measurements.work += progress * f64::from(task.kind.processors_milli) / 1e3;
                if fails_tasks && self.now - run.started_at >= 1_000_000 {
                    ended.push((position, Outcome::Failed));
                } else if task.remaining_seconds <= 0.0 {
                    ended.push((position, Outcome::Finished));
                }
            }
            for (position, outcome) in ended.into_iter().rev() {
                let run = self.hosts[index].runs.swap_remove(position);
                self.finish_run(index, &run, outcome);
            }
            self.fail_tasks_over_memory(index);
        }
    }

    /// Fails the newest tasks until the memory usage fits the worker.
    fn fail_tasks_over_memory(&mut self, index: usize) {
        let memory = u64::from(self.deployment.capacity().memory_mb);
        loop {
            let runs = &self.hosts[index].runs;
            let used = |run: &Run| u64::from(self.tasks[&run.id].kind.memory_mb);
            if runs.iter().map(used).sum::<u64>() <= memory {
                return;
            }
            let newest = (0..runs.len()).max_by_key(|run| runs[*run].started_at);
            let run = self.hosts[index].runs.swap_remove(newest.unwrap_or(0));
            self.finish_run(index, &run, Outcome::Failed);
        }
    }

    /// Returns the relative speed of the tasks on a worker, which is below one if they demand more
    /// processors than it has.
    fn speed(&self, index: usize) -> f64 {
        let wanted: f64 = self.hosts[index]
            .runs
            .iter()
            .map(|run| self.used_milli(run))
            .sum();
        let capacity = f64::from(self.deployment.capacity().processors_milli);
        (capacity / wanted.max(1.0)).min(1.0)
    }

    fn used_milli(&self, run: &Run) -> f64 {
        let kind = self.tasks[&run.id].kind;
        f64::from(kind.processors_milli) * f64::from(run.share_percent) / 100.0
    }

    fn finish_run(&mut self, index: usize, run: &Run, outcome: Outcome) {
        self.end_run(index, run, outcome);
        if outcome == Outcome::Finished {
            self.tasks.remove(&run.id);
            self.measurements.finished += 1;
            return;
        }
        if outcome == Outcome::Failed {
            self.measurements.failures += 1;
        }
        self.retries.insert((self.now, run.id.clone()), ());
    }

    fn end_run(&mut self, index: usize, run: &Run, outcome: Outcome) {
        let free = &mut self.workers[index].free;
        *free = free.plus(&run.reservation);
        let now = self.time();
        let worker = &self.hosts[index].id;
        self.scheduler.end(worker, &run.id, outcome, now);
    }

    fn send_reports(&mut self) {
        let lag = self.scenario.lag_seconds() * 1_000_000;
        for index in 0..self.hosts.len() {
            let service = self.hosts[index].lookups.report(WINDOW_MICROS, lag);
            let speed = self.speed(index);
            let runs = self.hosts[index].runs.len();
            let usage_factors: Vec<f64> = (0..runs)
                .map(|_| self.batch_rng.random_range(0.9..1.1))
                .collect();
            let usage = |run: &Run, usage_factor: f64| TaskUsage {
                task: run.id.clone(),
                attempt: Attempt::default(),
                age_micros: lag,
                window_micros: WINDOW_MICROS,
                processors_milli: (self.used_milli(run) * speed * usage_factor) as u32,
                memory_mb: self.tasks[&run.id].kind.memory_mb,
            };
            let ran_whole_window = |run: &&Run| self.now - run.started_at >= WINDOW_MICROS;
            let runs = self.hosts[index].runs.iter().filter(ran_whole_window);
            let tasks = runs
                .zip(&usage_factors)
                .map(|(run, usage_factor)| usage(run, *usage_factor));
            let tasks = tasks.collect();
            self.reports.push_back(UsageReport {
                due_at: self.now + lag,
                host: index,
                tasks,
                service,
            });
        }
    }

    fn deliver_reports(&mut self) {
        while self
            .reports
            .front()
            .is_some_and(|report| report.due_at <= self.now)
        {
            let Some(report) = self.reports.pop_front() else {
                return;
            };
            if self.hosts[report.host].is_lost {
                continue;
            }
            let now = self.time();
            let worker = &self.hosts[report.host].id;
            self.scheduler
                .observe(worker, &report.tasks, &report.service, now);
        }
    }

    fn advise(&mut self) {
        for index in 0..self.hosts.len() {
            let now = self.time();
            for advice in self.scheduler.advise(&self.hosts[index].id, now) {
                self.apply_advice(index, advice);
            }
        }
    }

    fn apply_advice(&mut self, index: usize, advice: Advice) {
        let runs = &mut self.hosts[index].runs;
        match advice {
            Advice::Throttle {
                task,
                share_percent,
            } => {
                if let Some(run) = runs.iter_mut().find(|run| run.id == task) {
                    let is_raised = share_percent > run.share_percent;
                    self.measurements.throttles += 1;
                    self.measurements.reversals += u64::from(run.was_raised && !is_raised);
                    run.was_raised = is_raised;
                    run.share_percent = share_percent;
                }
            }
            Advice::Evict { task } => {
                if let Some(position) = runs.iter().position(|run| run.id == task) {
                    let run = runs.swap_remove(position);
                    self.measurements.evictions += 1;
                    self.finish_run(index, &run, Outcome::Stopped);
                }
            }
        }
    }

    fn push_retries(&mut self) {
        while let Some(entry) = self.retries.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let ((_, id), ()) = entry.remove_entry();
            if let Some(task) = self.tasks.get(&id) {
                let now = Time::from_micros(self.now);
                self.scheduler
                    .push(&task.job, std::iter::once(id.index), now);
            }
        }
    }

    fn assign(&mut self) {
        let now = self.time();
        for assignment in self.scheduler.assign(&mut self.workers, now) {
            let host = &mut self.hosts[assignment.worker_index];
            let task = self
                .tasks
                .get_mut(&assignment.task)
                .expect("the task waits");
            if !std::mem::replace(&mut task.has_started, true) {
                record_wait(&mut self.measurements, task, self.now);
            }
            self.scheduler
                .start(&host.id, &assignment.task, task.kind.name, now);
            host.runs.push(Run {
                id: assignment.task,
                reservation: assignment.reservation,
                started_at: self.now,
                share_percent: 100,
                was_raised: false,
            });
        }
    }

    fn update_slowdowns(&mut self) {
        let seconds = self.seconds();
        let capacity = f64::from(self.deployment.capacity().processors_milli);
        for index in 0..self.hosts.len() {
            let runs = &self.hosts[index].runs;
            let effect = |run: &Run| {
                let task = &self.tasks[&run.id];
                let factor = self.scenario.slowdown_factor(seconds, task.is_noisy);
                task.kind.slowdown * factor * f64::from(run.share_percent) / 100.0
            };
            let wanted: f64 = runs.iter().map(|run| self.used_milli(run)).sum();
            // Tasks that demand more processors than the batch capacity also slow down lookups.
            let excess = (wanted / capacity - 1.0).max(0.0);
            let slowdown = runs.iter().map(effect).sum::<f64>() + excess;
            self.hosts[index].slowdown = slowdown;
        }
    }

    /// Records the wait so far of tasks that have not started by the end of the run. Omitting them
    /// would understate the wait.
    fn count_waiting(&mut self) {
        for task in self.tasks.values().filter(|task| !task.has_started) {
            record_wait(&mut self.measurements, task, self.now);
        }
    }
}

fn record_wait(measurements: &mut Measurements, task: &Task, now: u64) {
    let millis = (now - task.submitted_at) / 1_000;
    let histogram = match task.kind.is_short {
        true => &mut measurements.short_wait,
        false => &mut measurements.other_wait,
    };
    histogram.record(millis).expect("histograms resize");
}
