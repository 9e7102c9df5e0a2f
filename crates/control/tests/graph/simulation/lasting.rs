//! Perpetual tasks, and the faults and checks that concern them.

use std::collections::BTreeSet;

use rand::RngExt;
use toucanquay_model::{
    Time,
    graph::{Id, Step, Task},
};

use super::super::{accepted_job, at, cores, step};
use super::{
    CROWDED_JOBS, FITTING_JOBS, FITTING_PROCESSORS, Host, JobRecord, LASTING_JOBS_MAX, LATE_MS_MAX,
    PERPETUAL_MS_MAX, Simulation, TAKEOVER_MS,
};

impl Simulation {
    /// Waits until the last faults are over and all perpetual tasks run, if they fit, and then cancels their jobs.
    pub(super) fn await_perpetual_tasks(&mut self) {
        if self.perpetual_rng.is_none() {
            return;
        }
        let calm_at = self.now_ms + LATE_MS_MAX;
        while self.now_ms < calm_at {
            self.advance();
        }
        let run_by = self.now_ms + PERPETUAL_MS_MAX;
        let is_fitting = self.perpetual_processors_max <= FITTING_PROCESSORS;
        while let Some(task) = self.missing_perpetual_task() {
            if self.now_ms >= run_by {
                assert!(!is_fitting, "{task} doesn't run");
                break;
            }
            self.advance();
        }
        let is_perpetual = |(_, record): &(&Id, &JobRecord)| record.steps[0].is_perpetual;
        let jobs = self.jobs.iter().filter(is_perpetual);
        for id in jobs.map(|(id, _)| *id).collect::<Vec<Id>>() {
            self.cancel_job(id);
        }
    }

    /// Returns a task of a perpetual job that has no attempt on a worker.
    pub(super) fn missing_perpetual_task(&self) -> Option<Task> {
        let running = self
            .hosts
            .iter()
            .flat_map(|host| host.worker.running.keys());
        let running: BTreeSet<Task> = running.map(|(task, _)| *task).collect();
        let is_lasting = |record: &JobRecord| {
            let is_over = record.is_cancelled || record.progress.state.is_over();
            record.steps[0].is_perpetual && !is_over
        };
        let lasting = self.jobs.iter().filter(|(_, record)| is_lasting(record));
        let mut tasks = lasting.flat_map(|(id, record)| {
            (0..record.steps[0].tasks).map(|index| Task {
                job: *id,
                occurrence: 0,
                step: 0,
                index,
            })
        });
        tasks.find(|task| !running.contains(task))
    }

    /// Submits a job with perpetual tasks from time to time, unless there are many already.
    pub(super) fn submit_perpetual_job(&mut self) {
        let Some(rng) = &mut self.perpetual_rng else {
            return;
        };
        let active = self.jobs.values().filter(|record| {
            let is_over = record.is_cancelled || record.progress.state.is_over();
            record.steps[0].is_perpetual && !is_over
        });
        let jobs_max = if self.perpetual_processors_max <= FITTING_PROCESSORS {
            FITTING_JOBS
        } else {
            CROWDED_JOBS
        };
        if rng.random_range(0..60) != 0 || active.count() >= jobs_max {
            return;
        }
        let id = Id::new(rng.random());
        let perpetual = Step {
            is_perpetual: true,
            demand: cores(rng.random_range(1..=self.perpetual_processors_max)),
            ..step(rng.random_range(1..3))
        };
        let is_deadly = rng.random_range(0..8) == 0;
        let deadly_task = is_deadly.then_some(Task {
            job: id,
            occurrence: 0,
            step: 0,
            index: 0,
        });
        let record = JobRecord {
            deadly_task,
            steps: vec![perpetual.clone()],
            ..JobRecord::default()
        };
        self.jobs.insert(id, record);
        let now = self.time();
        if let Some(owner) = &mut self.owner {
            owner.accept(id, accepted_job(vec![perpetual]), now);
        }
    }

    /// Submits a job with perpetual tasks unless there are enough.
    pub(super) fn submit_lasting_job(&mut self) {
        let is_active = |record: &&JobRecord| record.is_lasting() && !record.is_cancelled;
        if self.jobs.values().filter(is_active).count() >= LASTING_JOBS_MAX {
            return;
        }
        let Some(rng) = &mut self.lasting_rng else {
            return;
        };
        let id = Id::new(rng.random());
        let steps = vec![Step {
            is_perpetual: true,
            ..step(rng.random_range(1..4))
        }];
        let record = JobRecord {
            steps: steps.clone(),
            ..JobRecord::default()
        };
        self.jobs.insert(id, record);
        let now = self.time();
        if let Some(owner) = &mut self.owner {
            owner.accept(id, accepted_job(steps), now);
        }
    }

    pub(super) fn inject_lasting_fault(&mut self) {
        let now_ms = self.now_ms;
        let hosts = self.hosts.len();
        let is_lost = |host: &Host| at(now_ms) < host.lost_until;
        let lost = self.hosts.iter().filter(|host| is_lost(host)).count();
        let Some(rng) = &mut self.lasting_rng else {
            return;
        };
        if rng.random_range(0..80) != 0 {
            return;
        }
        self.faults += 1;
        let index = rng.random_range(0..hosts);
        let until = |millis: u64| at(now_ms + millis);
        match rng.random_range(0..4) {
            0 if lost == 0 => {
                let millis = rng.random_range(500..60_000);
                self.lose_host(index, until(millis));
            }
            1 => self.hosts[index].suspended_until = until(rng.random_range(100..12_000)),
            2 => self.hosts[index].odd_until = until(rng.random_range(100..6_000)),
            _ => {
                self.owner = None;
                self.owner_lost_at = now_ms + TAKEOVER_MS + rng.random_range(10..5_000);
            }
        }
    }

    /// Ends a host's processes until it returns with other ones.
    pub(super) fn lose_host(&mut self, index: usize, until: Time) {
        let session = self.hosts[index].session;
        self.replace_worker(index);
        self.restart_agent(index);
        self.hosts[index].session = session;
        let host = &mut self.hosts[index];
        host.calls.clear();
        host.lost_until = until;
        host.next_update_at = at(self.now_ms);
        host.next_heartbeat_at = until;
    }

    /// Compares what runs with what the users' rule demands.
    pub(super) fn watch_lasting_tasks(&mut self) {
        let now = self.time();
        let is_disturbed = |host: &Host| now < host.partitioned_until.max(host.suspended_until);
        let is_calm = self.is_fault_free
            && self.now_ms >= self.paused_until
            && self.owner_lost_at == u64::MAX
            && !self.hosts.iter().any(is_disturbed);
        let lasting = self.jobs.iter().filter(|(_, record)| {
            record.is_lasting() && !record.is_cancelled && !record.progress.state.is_over()
        });
        let tasks = lasting.flat_map(|(id, record)| {
            (0..record.steps[0].tasks).map(|index| Task {
                job: *id,
                occurrence: 0,
                step: 0,
                index,
            })
        });
        let tasks: BTreeSet<Task> = tasks.collect();
        let alive = self.hosts.iter().filter(|host| now >= host.lost_until);
        let workers: Vec<_> = alive
            .map(|host| {
                let running = host.worker.running.keys().map(|(task, _)| *task);
                let running: BTreeSet<Task> = running.collect();
                (host.name.as_str(), running)
            })
            .collect();
        self.watch.check(&tasks, &workers, is_calm, self.now_ms);
    }

    /// Lets an attempt of a perpetual task run until it is stopped.
    pub(super) fn prolong_perpetual_task(&mut self, index: usize, key: (Task, u64)) {
        let is_perpetual =
            self.perpetual_rng.is_some() && self.jobs[&key.0.job].steps[0].is_perpetual;
        let running = &mut self.hosts[index].worker.running;
        if let Some(attempt) = running.get_mut(&key).filter(|_| is_perpetual) {
            attempt.done_at = Time::NEVER;
        }
    }
}
