//! Handling of ended attempts: records, acknowledgements and retries.

use toucanquay_model::{
    Attempt, Time,
    exchange::{Refusal, TaskState},
};
use toucanquay_policy::batch;

use super::{
    Cell, Phase,
    durability::CHECKPOINT_BYTES_MAX,
    effect::Effect,
    key::{RunKey, TaskKey, WorkerKey},
    record::Record,
};

/// The end of an attempt that is to be recorded.
#[derive(Debug, Clone)]
pub(super) struct Ending {
    task: TaskKey,
    attempt: Attempt,
    worker: WorkerKey,
    /// The record to write, or `None` if the task has finished or failed permanently.
    record: Option<Record>,
    backoff_micros: u64,
}

impl Cell {
    /// Handles the end of a task's newest attempt, whose lease is already released.
    pub(super) fn handle_end(
        &mut self,
        task: TaskKey,
        attempt: Attempt,
        worker: WorkerKey,
        state: &TaskState,
        now: Time,
    ) {
        match state {
            TaskState::Starting | TaskState::Running | TaskState::Stopping => {}
            TaskState::Refused { reason } => self.on_refused(task, attempt, worker, *reason, now),
            TaskState::Stopped { checkpoint } => {
                self.on_stopped(task, attempt, worker, checkpoint.as_deref(), now);
            }
            TaskState::Failed { .. } => self.on_failed(task, attempt, worker),
            TaskState::Finished => {
                if let Some(job) = self.jobs.get_mut(task.job) {
                    job.finished.insert(task.index);
                    self.record_ending(Ending::permanent(task, attempt, worker));
                }
            }
        }
    }

    fn on_refused(
        &mut self,
        task: TaskKey,
        attempt: Attempt,
        worker: WorkerKey,
        reason: Refusal,
        now: Time,
    ) {
        let next_grant_at = now.plus_micros(self.settings.refusal_delay_micros);
        if let Some(worker_state) = self.workers.get_mut(worker) {
            worker_state.next_grant_at = worker_state.next_grant_at.max(next_grant_at);
        }
        self.acknowledge(task, attempt, worker);
        if reason == Refusal::Runtime {
            self.avoid_worker(task, worker);
            self.requeue(task, next_grant_at, now);
        } else {
            self.requeue(task, now, now);
        }
    }

    fn on_stopped(
        &mut self,
        task: TaskKey,
        attempt: Attempt,
        worker: WorkerKey,
        checkpoint: Option<&str>,
        now: Time,
    ) {
        let Some(job) = self.jobs.get_mut(task.job) else {
            return;
        };
        job.evictions = job.evictions.saturating_add(1);
        let failures = job.tasks[task.index as usize].failures;
        let is_short = |text: &&str| {
            serde_json::to_string(text).is_ok_and(|json| json.len() <= CHECKPOINT_BYTES_MAX)
        };
        let Some(checkpoint) = checkpoint.filter(is_short) else {
            // Nothing durable changes: the task resumes from its previous checkpoint.
            self.acknowledge(task, attempt, worker);
            self.requeue(task, now, now);
            return;
        };
        self.record_ending(Ending {
            task,
            attempt,
            worker,
            record: Some(Record {
                attempt,
                failures,
                checkpoint: Some(checkpoint.to_owned()),
            }),
            backoff_micros: 0,
        });
    }

    fn on_failed(&mut self, task: TaskKey, attempt: Attempt, worker: WorkerKey) {
        let failures_max = self.settings.failures_max;
        let Some(job) = self.jobs.get_mut(task.job) else {
            return;
        };
        let state = &mut job.tasks[task.index as usize];
        state.failures = state.failures.saturating_add(1);
        let failures = state.failures;
        if failures >= failures_max {
            job.failed.insert(task.index);
            self.record_ending(Ending::permanent(task, attempt, worker));
            return;
        }
        let previous = job.records.get(&task.index);
        let checkpoint = previous.and_then(|(_, record)| record.checkpoint.clone());
        let backoff_micros = self.settings.backoff(failures);
        self.avoid_worker(task, worker);
        self.record_ending(Ending {
            task,
            attempt,
            worker,
            record: Some(Record {
                attempt,
                failures,
                checkpoint,
            }),
            backoff_micros,
        });
    }

    /// Records an end. The acknowledgement and the next attempt wait for the durable write.
    pub(super) fn record_ending(&mut self, ending: Ending) {
        let task = ending.task;
        let Some(job) = self.jobs.get_mut(task.job) else {
            return;
        };
        job.tasks[task.index as usize].phase = Phase::Ending;
        let segment_index = match &ending.record {
            None => {
                let segment_index = job.segment;
                self.drop_record(task);
                Some(segment_index)
            }
            Some(record) => self.set_record(task, record),
        };
        let Some(segment_index) = segment_index else {
            self.deferred_endings.push_back(ending);
            return;
        };
        let effect = Effect::End {
            task,
            attempt: ending.attempt,
            worker: ending.worker,
            backoff_micros: ending.backoff_micros,
        };
        self.record_change(segment_index, Some(effect));
    }

    /// Acknowledges an end that is durable and requeues the task.
    pub(super) fn acknowledge_and_requeue(
        &mut self,
        task: TaskKey,
        attempt: Attempt,
        worker: WorkerKey,
        not_before: Time,
        now: Time,
    ) {
        self.acknowledge(task, attempt, worker);
        self.requeue(task, not_before, now);
    }

    /// Tells the worker's companion with its next answer that it may forget an ended attempt.
    pub(super) fn acknowledge(&mut self, task: TaskKey, attempt: Attempt, worker: WorkerKey) {
        let Some(job) = self.jobs.get(task.job) else {
            return;
        };
        let id = job.task_id(task.index);
        if let Some(worker_state) = self.workers.get_mut(worker) {
            worker_state.acknowledged.push((id, attempt));
            worker_state.is_answer_urgent = true;
        }
    }

    /// Makes the placement prefer other workers than the one on which the task failed.
    fn avoid_worker(&mut self, task: TaskKey, worker: WorkerKey) {
        if let Some(job) = self.jobs.get_mut(task.job) {
            job.tasks[task.index as usize].avoided_worker = Some(worker);
        }
    }

    /// Removes an attempt and the lease that it holds.
    pub(super) fn release_run(&mut self, key: RunKey, outcome: batch::Outcome) {
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        if let Some(worker_state) = self.workers.get_mut(run.worker) {
            worker_state.runs.retain(|other| *other != key);
        }
        if let Some(job) = self.jobs.get_mut(run.task.job) {
            job.running -= 1;
            if !run.is_confirmed {
                job.unconfirmed -= 1;
            }
            job.tasks[run.task.index as usize].phase = Phase::Waiting;
            self.queue
                .end_attempt(&job.task_id(run.task.index), outcome);
        }
    }

    /// Removes the attempts whose leases have ended. Their tasks restart from their last durable
    /// checkpoint.
    pub(super) fn expire_leases(&mut self, now: Time) {
        let ended: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_, run)| run.lease_end_bound <= now)
            .map(|(key, _)| key)
            .collect();
        for key in ended {
            if let Some(task) = self.runs.get(key).map(|run| run.task) {
                self.release_run(key, batch::Outcome::Stopped);
                self.requeue(task, now, now);
            }
        }
    }
}

impl Ending {
    /// Returns the end of a task that has finished or failed permanently.
    const fn permanent(task: TaskKey, attempt: Attempt, worker: WorkerKey) -> Self {
        Self {
            task,
            attempt,
            worker,
            record: None,
            backoff_micros: 0,
        }
    }
}

/// Returns how an attempt with this last state ended, in the terms of the scheduling policy.
pub(super) const fn batch_outcome(state: &TaskState) -> batch::Outcome {
    match state {
        TaskState::Finished => batch::Outcome::Finished,
        TaskState::Failed { .. } => batch::Outcome::Failed,
        TaskState::Refused { .. } => batch::Outcome::NotStarted,
        TaskState::Stopped { .. }
        | TaskState::Starting
        | TaskState::Running
        | TaskState::Stopping => batch::Outcome::Stopped,
    }
}
