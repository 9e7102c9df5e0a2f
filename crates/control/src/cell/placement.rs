//! Placement of waiting tasks.

use toucanquay_model::{Attempt, Resources, Time};
use toucanquay_policy::batch::{Assignment, WorkerResources};

use super::{
    Cell, Phase,
    key::{JobKey, RunKey, TaskKey, WorkerKey},
    member::Member,
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
        let assigned = self.queue.assign(&mut rooms, self.settings.grants_max);
        for assignment in assigned {
            let Some(job) = self.job_ids.get(&assignment.task.job).copied() else {
                continue;
            };
            let task = TaskKey {
                job,
                index: assignment.task.index,
            };
            let room = self.choose(task, &assignment, &mut rooms);
            if let Some(worker) = self.worker_ids.get(&rooms[room].worker).copied() {
                self.start(task, worker, assignment.reservation);
            }
        }
    }

    /// Returns the room of an assignment, or another one that fits if the task failed there.
    fn choose(
        &self,
        task: TaskKey,
        assignment: &Assignment,
        rooms: &mut [WorkerResources],
    ) -> usize {
        let (chosen, reservation) = (assignment.worker_index, &assignment.reservation);
        let avoid = self.jobs[task.job].tasks[task.index as usize].avoid;
        let is_avoided = |room: &WorkerResources| {
            avoid.is_some() && self.worker_ids.get(&room.worker).copied() == avoid
        };
        if !is_avoided(&rooms[chosen]) {
            return chosen;
        }
        let other = rooms
            .iter()
            .position(|room| !is_avoided(room) && reservation.fits(&room.free));
        let Some(other) = other else {
            return chosen;
        };
        rooms[chosen].free = rooms[chosen].free.plus(reservation);
        rooms[other].free = rooms[other].free.saturating_sub(reservation);
        other
    }

    /// Returns the free resources of the workers that take grants now.
    fn rooms(&self, now: Time) -> Vec<WorkerResources> {
        let takes_grants = |member: &Member| {
            member.unanswered.is_some()
                && !member.is_leaving
                && !member.is_settling
                && member.revision >= self.revision
                && now >= member.grant_at
        };
        let members = self.workers.iter();
        let takers = members.filter(|(_, member)| takes_grants(member));
        let rooms = takers.map(|(key, member)| WorkerResources {
            worker: member.id.clone(),
            capacity: member.capacity,
            free: self.free(key),
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
    fn start(&mut self, task: TaskKey, worker: WorkerKey, demand: Resources) {
        if let Some(invariant) = self.broken_invariant(task, worker, &demand) {
            self.violations.push(invariant);
            return;
        }
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
            demand,
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

    /// Returns the number of the invariant in `docs/design.md` that a start would break, if any:
    /// the placement must not offer such a start.
    fn broken_invariant(&self, task: TaskKey, worker: WorkerKey, demand: &Resources) -> Option<u8> {
        let job = self.jobs.get(task.job)?;
        let is_waiting = job.tasks[task.index as usize].phase == Phase::Waiting;
        if !is_waiting || job.is_cancelled {
            return Some(2);
        }
        (!demand.fits(&self.free(worker))).then_some(1)
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
        let task = &mut job.tasks[key.index as usize];
        if is_done {
            task.phase = Phase::Done;
            self.queue.remove(&job.task_id(key.index));
        } else if is_held_back {
            task.phase = Phase::Waiting;
        } else if not_before > now {
            task.phase = Phase::Backoff(not_before);
            self.backoffs.insert((not_before, key));
        } else {
            task.phase = Phase::Waiting;
            self.queue.push(&job.spec, [key.index]);
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
        let tasks = (0..).zip(&job.tasks);
        let waiting = tasks.filter(|(_, task)| task.phase == Phase::Waiting);
        self.queue.push(&job.spec, waiting.map(|(index, _)| index));
    }
}
