//! Common interface to the decision code and the baseline.

use toucanquay_model::{
    Resources, Time,
    exchange::{ServiceUsage, TaskUsage},
    job, task, worker,
};
use toucanquay_policy::{
    batch::{Assignment, Backlog, Job, Outcome, WorkerResources},
    interfere::{self, Advice, InterferenceModel},
    quarantine::{self, Admission, Quarantine},
};

use crate::{fifo::Fifo, policy::Policy};

/// Scheduling order, placement and throttling advice under one policy.
#[derive(Debug)]
pub struct Scheduler {
    policy: Policy,
    fifo: Fifo,
    backlog: Backlog,
    interference: InterferenceModel,
    quarantine: Quarantine,
}

impl Scheduler {
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            fifo: Fifo::default(),
            backlog: Backlog::new(policy.settings()),
            interference: InterferenceModel::new(interfere::Settings::default()),
            quarantine: Quarantine::new(quarantine::Settings::default()),
        }
    }

    pub fn add_worker(&mut self, worker: &worker::Id, capacity: Resources, now: Time) {
        self.backlog.add_worker(worker, capacity, now);
        self.quarantine.add_worker(worker);
    }

    pub fn remove_worker(&mut self, worker: &worker::Id) {
        self.backlog.remove_worker(worker);
        self.quarantine.remove_worker(worker);
        self.interference.remove_worker(worker);
    }

    pub fn push(&mut self, job: &Job, indexes: impl Iterator<Item = u32>, now: Time) {
        match self.policy {
            Policy::Fifo => self.fifo.push(job, indexes),
            _ => self.backlog.push(job, indexes, now),
        }
    }

    pub fn remove_job(&mut self, job: &job::Id, now: Time) {
        match self.policy {
            Policy::Fifo => self.fifo.remove_job(job),
            _ => drop(self.backlog.remove_job(job, now)),
        }
    }

    pub fn assign(&mut self, workers: &mut [WorkerResources], now: Time) -> Vec<Assignment> {
        if self.policy == Policy::Fifo {
            return self.fifo.assign(workers);
        }
        let (interference, quarantine) = (&self.interference, &self.quarantine);
        let policy = self.policy;
        let cost = |resources: &WorkerResources, kind: &str| {
            if policy.has_quarantine()
                && quarantine.admission(&resources.worker, now) != Admission::Allowed
            {
                return None;
            }
            match policy.has_interference() {
                true => interference.placement_cost(&resources.worker, kind, now),
                false => Some(0.0),
            }
        };
        let mut assignments = self.backlog.assign(workers, now, usize::MAX, cost);
        if policy.has_quarantine() {
            self.start_probes(workers, now, &mut assignments);
        }
        assignments
    }

    /// Starts one task on each quarantined worker whose probe is due.
    fn start_probes(
        &mut self,
        workers: &mut [WorkerResources],
        now: Time,
        assignments: &mut Vec<Assignment>,
    ) {
        let quarantine = &self.quarantine;
        let is_due = |resources: &WorkerResources| {
            quarantine.admission(&resources.worker, now) == Admission::Probe
        };
        let due: Vec<usize> = (0..workers.len())
            .filter(|index| is_due(&workers[*index]))
            .collect();
        for index in due {
            let probed = &mut workers[index..=index];
            let started = self.backlog.assign(probed, now, 1, |_, _| Some(0.0));
            for mut assignment in started {
                assignment.worker_index = index;
                self.quarantine.start_probe(&workers[index].worker, now);
                assignments.push(assignment);
            }
        }
    }

    pub fn start(&mut self, worker: &worker::Id, task: &task::Id, kind: &str, now: Time) {
        self.interference.start(worker, task, kind, now);
    }

    pub fn end(&mut self, worker: &worker::Id, task: &task::Id, outcome: Outcome, now: Time) {
        self.interference.stop(worker, task, now);
        self.backlog.end_attempt(task, outcome, now);
        match outcome {
            Outcome::Finished => self.quarantine.record_outcome(worker, &task.job, true, now),
            Outcome::Failed => self
                .quarantine
                .record_outcome(worker, &task.job, false, now),
            Outcome::Stopped | Outcome::NotStarted => {}
        }
    }

    pub fn observe(
        &mut self,
        worker: &worker::Id,
        tasks: &[TaskUsage],
        service: &ServiceUsage,
        now: Time,
    ) {
        for usage in tasks {
            let is_unthrottled = self.interference.share(worker, &usage.task) == Some(100);
            if is_unthrottled {
                self.backlog.observe(usage, now);
            }
            self.interference.observe_task(worker, usage, now);
        }
        if self.policy.has_interference() {
            self.interference.observe_service(worker, service, now);
        }
    }

    pub fn advise(&mut self, worker: &worker::Id, now: Time) -> Vec<Advice> {
        if !self.policy.has_interference() {
            return Vec::new();
        }
        self.interference.advise(worker, now).into_vec()
    }
}
