//! The decision code or a baseline, behind one interface.

use toucanquay_model::{
    Resources, Time,
    exchange::{ServiceUsage, TaskUsage},
    job, task, worker,
};
use toucanquay_policy::{
    batch::{Assignment, Backlog, Ending, Job, Room},
    interfere::{self, Advice, InterferenceModel},
    quarantine::{self, Admission, Quarantine},
};

use crate::{fifo::Fifo, policy::Policy};

/// Order, placement and advice under one policy.
#[derive(Debug)]
pub struct Scheduler {
    policy: Policy,
    fifo: Fifo,
    backlog: Backlog,
    matrix: InterferenceModel,
    quarantine: Quarantine,
}

impl Scheduler {
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            fifo: Fifo::default(),
            backlog: Backlog::new(policy.settings()),
            matrix: InterferenceModel::new(interfere::Settings::default()),
            quarantine: Quarantine::new(quarantine::Settings::default()),
        }
    }

    pub fn join(&mut self, worker: &worker::Id, capacity: Resources, now: Time) {
        self.backlog.join(worker, capacity, now);
        self.quarantine.join(worker);
    }

    pub fn leave(&mut self, worker: &worker::Id) {
        self.backlog.leave(worker);
        self.quarantine.leave(worker);
        self.matrix.remove_worker(worker);
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

    pub fn assign(&mut self, rooms: &mut [Room], now: Time) -> Vec<Assignment> {
        if self.policy == Policy::Fifo {
            return self.fifo.assign(rooms);
        }
        let (matrix, quarantine) = (&self.matrix, &self.quarantine);
        let policy = self.policy;
        let price = |room: &Room, kind: &str| {
            if policy.has_quarantine() && quarantine.admission(&room.worker, now) != Admission::Open
            {
                return None;
            }
            match policy.has_interference() {
                true => matrix.placement_cost(&room.worker, kind, now),
                false => Some(0.0),
            }
        };
        let mut assignments = self.backlog.assign(rooms, now, usize::MAX, price);
        if policy.has_quarantine() {
            self.probe(rooms, now, &mut assignments);
        }
        assignments
    }

    /// Starts one task on each worker in quarantine that is due for a probe.
    fn probe(&mut self, rooms: &mut [Room], now: Time, assignments: &mut Vec<Assignment>) {
        let quarantine = &self.quarantine;
        let is_due = |room: &Room| quarantine.admission(&room.worker, now) == Admission::Probe;
        let due: Vec<usize> = (0..rooms.len())
            .filter(|room| is_due(&rooms[*room]))
            .collect();
        for index in due {
            let room = &mut rooms[index..=index];
            let started = self.backlog.assign(room, now, 1, |_, _| Some(0.0));
            for mut assignment in started {
                assignment.room = index;
                self.quarantine.probe(&rooms[index].worker, now);
                assignments.push(assignment);
            }
        }
    }

    pub fn start(&mut self, worker: &worker::Id, task: &task::Id, kind: &str, now: Time) {
        self.matrix.start(worker, task, kind, now);
    }

    pub fn end(&mut self, worker: &worker::Id, task: &task::Id, ending: Ending, now: Time) {
        self.matrix.stop(worker, task, now);
        self.backlog.end(task, ending, now);
        match ending {
            Ending::Finished => self.quarantine.record(worker, &task.job, true, now),
            Ending::Failed => self.quarantine.record(worker, &task.job, false, now),
            Ending::Stopped | Ending::NotStarted => {}
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
            let is_whole = self.matrix.share(worker, &usage.task) == Some(100);
            if is_whole {
                self.backlog.observe(usage, now);
            }
            self.matrix.observe_task(worker, usage, now);
        }
        if self.policy.has_interference() {
            self.matrix.observe_service(worker, service, now);
        }
    }

    pub fn advise(&mut self, worker: &worker::Id, now: Time) -> Vec<Advice> {
        if !self.policy.has_interference() {
            return Vec::new();
        }
        self.matrix.advise(worker, now).into_vec()
    }
}
