//! Placement of waiting tasks on workers.

use toucanquay_model::{Attempt, Resources, Time};
use toucanquay_policy::batch::{Assignment, WorkerResources};

use super::{
    Cell, Phase,
    key::{JobKey, RunKey, TaskKey, WorkerKey},
    run::{Run, StartState},
    worker_state::WorkerState,
};

impl Cell {
    /// Starts waiting tasks on workers whose report was not answered yet.
    pub(super) fn place_waiting_tasks(&mut self, now: Time) {
        if !self.is_owner(now) || self.is_stale() {
            return;
        }
        let mut candidates = self.available_workers(now);
        if candidates.is_empty() {
            return;
        }
        let assigned = self
            .queue
            .assign(&mut candidates, self.settings.grants_per_tick_max);
        for assignment in assigned {
            let Some(job) = self.job_ids.get(&assignment.task.job).copied() else {
                continue;
            };
            let task = TaskKey {
                job,
                index: assignment.task.index,
            };
            let worker_index = self.select_worker(task, &assignment, &mut candidates);
            if let Some(worker) = self
                .worker_ids
                .get(&candidates[worker_index].worker)
                .copied()
            {
                self.start_attempt(task, worker, assignment.reservation);
            }
        }
    }

    /// Returns the index of the worker chosen by the policy, or of another one with enough free
    /// resources if the task failed last on the chosen worker.
    fn select_worker(
        &self,
        task: TaskKey,
        assignment: &Assignment,
        candidates: &mut [WorkerResources],
    ) -> usize {
        let (chosen, reservation) = (assignment.worker_index, &assignment.reservation);
        let avoided_worker = self.jobs[task.job].tasks[task.index as usize].avoided_worker;
        let is_avoided = |candidate: &WorkerResources| {
            avoided_worker.is_some()
                && self.worker_ids.get(&candidate.worker).copied() == avoided_worker
        };
        if !is_avoided(&candidates[chosen]) {
            return chosen;
        }
        let other = candidates
            .iter()
            .position(|candidate| !is_avoided(candidate) && reservation.fits(&candidate.free));
        let Some(other) = other else {
            return chosen;
        };
        candidates[chosen].free = candidates[chosen].free.plus(reservation);
        candidates[other].free = candidates[other].free.saturating_sub(reservation);
        other
    }

    /// Returns the free resources of the workers that accept grants now.
    fn available_workers(&self, now: Time) -> Vec<WorkerResources> {
        let accepts_grants = |worker_state: &WorkerState| {
            worker_state.unanswered.is_some()
                && !worker_state.is_leaving
                && !worker_state.is_settling
                && worker_state.revision >= self.revision
                && now >= worker_state.next_grant_at
        };
        let worker_states = self.workers.iter();
        let accepting = worker_states.filter(|(_, worker_state)| accepts_grants(worker_state));
        let candidates = accepting.map(|(key, worker_state)| WorkerResources {
            worker: worker_state.id.clone(),
            capacity: worker_state.capacity,
            free: self.free_resources(key),
        });
        candidates
            .filter(|candidate| candidate.free != Resources::ZERO)
            .collect()
    }

    /// Returns the resources of a worker that no known attempt holds.
    fn free_resources(&self, worker: WorkerKey) -> Resources {
        let Some(worker_state) = self.workers.get(worker) else {
            return Resources::ZERO;
        };
        let runs = worker_state
            .runs
            .iter()
            .filter_map(|key| self.runs.get(*key));
        let held = runs.fold(worker_state.untracked, |sum, run| sum.plus(&run.demand));
        worker_state.capacity.saturating_sub(&held)
    }

    /// Starts the next attempt at a task. The grant is sent with the next answer to the worker.
    fn start_attempt(&mut self, task: TaskKey, worker: WorkerKey, demand: Resources) {
        if let Some(invariant) = self.broken_invariant(task, worker, &demand) {
            self.violations.push(invariant);
            return;
        }
        let Some(job) = self.jobs.get_mut(task.job) else {
            return;
        };
        let number = job.tasks[task.index as usize]
            .last_attempt
            .number
            .saturating_add(1);
        let attempt = Attempt::new(self.epoch, number);
        let received_at = self
            .workers
            .get(worker)
            .and_then(|worker_state| worker_state.unanswered)
            .map_or(Time::ZERO, |unanswered| unanswered.received_at);
        let run = Run {
            task,
            attempt,
            worker,
            demand,
            lease_end_bound: self.settings.lease_end_bound(received_at),
            start_state: StartState::Placed,
            is_confirmed: false,
            last_report_sequence: 0,
            requested_stop: None,
            pending_throttle: None,
        };
        self.insert_run(run);
        if let Some(worker_state) = self.workers.get_mut(worker) {
            worker_state.is_answer_urgent = true;
        }
    }

    /// Returns the number of the invariant in `docs/design.md` that a start would violate, if any.
    /// The placement must never propose such a start.
    fn broken_invariant(&self, task: TaskKey, worker: WorkerKey, demand: &Resources) -> Option<u8> {
        let job = self.jobs.get(task.job)?;
        let is_waiting = job.tasks[task.index as usize].phase == Phase::Waiting;
        if !is_waiting || job.is_cancelled {
            return Some(2);
        }
        (!demand.fits(&self.free_resources(worker))).then_some(1)
    }

    /// Adds an attempt as the current one of its task.
    pub(super) fn insert_run(&mut self, run: Run) -> Option<RunKey> {
        let job = self.jobs.get_mut(run.task.job)?;
        let task = &mut job.tasks[run.task.index as usize];
        task.last_attempt = run.attempt;
        job.running += 1;
        if !run.is_confirmed {
            job.unconfirmed += 1;
        }
        let (index, worker) = (run.task.index as usize, run.worker);
        let key = self.runs.insert(run);
        job.tasks[index].phase = Phase::Running(key);
        if let Some(worker_state) = self.workers.get_mut(worker) {
            worker_state.runs.push(key);
        }
        Some(key)
    }

    /// Queues a task without an attempt at `not_before`, unless it is done or held back.
    pub(super) fn requeue(&mut self, key: TaskKey, not_before: Time, now: Time) {
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        let is_done = job.is_done(key.index);
        // A cancellation that is not durable yet may be lost with the owner, so the task waits
        // instead of being done.
        let is_awaiting_takeover = job.is_awaiting_takeover || job.is_cancelled;
        let task = &mut job.tasks[key.index as usize];
        if is_done {
            task.phase = Phase::Done;
            self.queue.remove(&job.task_id(key.index));
        } else if is_awaiting_takeover {
            task.phase = Phase::Waiting;
        } else if not_before > now {
            task.phase = Phase::Backoff(not_before);
            self.backoffs.insert((not_before, key));
        } else {
            task.phase = Phase::Waiting;
            self.queue.push(&job.spec, [key.index]);
        }
    }

    /// Queues the tasks whose backoff has passed, and all taken-over tasks once the takeover is
    /// complete.
    pub(super) fn end_expired_waits(&mut self, now: Time) {
        if now >= self.takeover_complete_at {
            for key in std::mem::take(&mut self.jobs_awaiting_takeover) {
                if let Some(job) = self.jobs.get_mut(key) {
                    job.is_awaiting_takeover = false;
                }
                self.enqueue_waiting_tasks(key);
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

    /// Queues all waiting tasks of a job.
    pub(super) fn enqueue_waiting_tasks(&mut self, key: JobKey) {
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
