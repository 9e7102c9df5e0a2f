//! Placement of waiting tasks.

use toucanquay_model::{Attempt, Resources, Time};

use super::{
    Cell, Phase,
    key::{JobKey, RunKey, TaskKey, WorkerKey},
    room::Room,
    run::{Run, Stage},
};

impl Cell {
    /// Grants waiting tasks to workers whose report waits for an answer.
    pub(super) fn place(&mut self, now: Time) {
        if !self.is_owner(now) || self.is_stale() {
            return;
        }
        let mut rooms = self.rooms(now);
        if rooms.is_empty() {
            return;
        }
        let jobs = &self.jobs;
        let usage = &mut self.usage;
        let admit = |key: JobKey| {
            let Some(job) = jobs.get(key) else {
                return false;
            };
            let is_admitted = usage.admits(&job.spec);
            if is_admitted {
                usage.take(&job.spec);
            }
            is_admitted
        };
        let most = self.settings.grants_max;
        let assigned = self.queue.assign(&mut rooms, most, admit);
        for (task, worker) in assigned {
            self.start(task, worker);
        }
    }

    /// Returns the free resources of the workers that take grants now.
    fn rooms(&self, now: Time) -> Vec<Room> {
        let takes_grants = |key: &WorkerKey| {
            self.workers.get(*key).is_some_and(|member| {
                member.unanswered.is_some()
                    && !member.is_leaving
                    && !member.is_settling
                    && member.revision >= self.revision
                    && now >= member.grant_at
            })
        };
        let rooms = self.workers.keys().filter(takes_grants).map(|worker| Room {
            worker,
            free: self.free(worker),
        });
        rooms.filter(|room| room.free != Resources::ZERO).collect()
    }

    fn free(&self, worker: WorkerKey) -> Resources {
        let Some(member) = self.workers.get(worker) else {
            return Resources::ZERO;
        };
        let runs = member.runs.iter().filter_map(|key| self.runs.get(*key));
        let held = runs.fold(member.foreign, |sum, run| sum.plus(&run.demand));
        member.capacity.saturating_sub(&held)
    }

    /// Begins the next attempt at a task, whose grant leaves with the worker's next answer.
    fn start(&mut self, task: TaskKey, worker: WorkerKey) {
        let Some(job) = self.jobs.get_mut(task.job) else {
            return;
        };
        let number = job.tasks[task.index as usize].last.number.saturating_add(1);
        let attempt = Attempt::new(self.epoch, number);
        let received_at = self
            .workers
            .get(worker)
            .and_then(|member| member.unanswered)
            .map_or(Time::ZERO, |unanswered| unanswered.received_at);
        let run = Run {
            task,
            attempt,
            worker,
            demand: job.spec.demand,
            bound: self.settings.bound(received_at),
            stage: Stage::Placed,
            is_confirmed: false,
            reported: 0,
            stop: None,
            throttle: None,
        };
        self.insert_run(run);
        if let Some(member) = self.workers.get_mut(worker) {
            member.is_urgent = true;
        }
    }

    /// Makes an attempt the current one of its task.
    pub(super) fn insert_run(&mut self, run: Run) -> Option<RunKey> {
        let job = self.jobs.get_mut(run.task.job)?;
        let task = &mut job.tasks[run.task.index as usize];
        task.last = run.attempt;
        job.running += 1;
        if !run.is_confirmed {
            job.unconfirmed += 1;
        }
        let (index, worker) = (run.task.index as usize, run.worker);
        let key = self.runs.insert(run);
        job.tasks[index].phase = Phase::Running(key);
        if let Some(member) = self.workers.get_mut(worker) {
            member.runs.push(key);
        }
        Some(key)
    }

    /// Has a task without attempt wait for a worker, from `not_before` on.
    pub(super) fn requeue(&mut self, key: TaskKey, not_before: Time, now: Time) {
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        let is_done = job.is_done(key.index);
        // A cancellation that is not durable may be lost with the owner, so the task is not done.
        let is_held_back = job.is_held_back || job.is_cancelled;
        let (rank, demand) = (job.rank(), job.spec.demand);
        let task = &mut job.tasks[key.index as usize];
        if is_done {
            task.phase = Phase::Done;
        } else if is_held_back {
            task.phase = Phase::Waiting;
        } else if not_before > now {
            task.phase = Phase::Backoff(not_before);
            self.backoffs.insert((not_before, key));
        } else {
            task.phase = Phase::Waiting;
            self.queue.push(rank, key, demand, task.avoid);
        }
    }

    /// Ends the waits that are over.
    pub(super) fn end_waits(&mut self, now: Time) {
        if now >= self.wait_until {
            for key in std::mem::take(&mut self.waiting_jobs) {
                if let Some(job) = self.jobs.get_mut(key) {
                    job.is_held_back = false;
                }
                self.enqueue_job(key);
            }
        }
        while let Some((until, key)) = self.backoffs.first().copied() {
            if until > now {
                break;
            }
            self.backoffs.pop_first();
            self.requeue(key, now, now);
        }
    }

    /// Has all tasks of a job that wait go into the queue.
    pub(super) fn enqueue_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.is_cancelled {
            return;
        }
        let rank = job.rank();
        for (index, task) in (0..).zip(&job.tasks) {
            if task.phase == Phase::Waiting {
                let task_key = TaskKey { job: key, index };
                self.queue.push(rank, task_key, job.spec.demand, task.avoid);
            }
        }
    }
}
