//! Answers to companions' reports.

use toucanquay_model::{
    Time,
    exchange::{Command, Grant, Stop, Throttle},
    worker,
};

use super::{
    Cell,
    key::{RunKey, WorkerKey},
    run::{Run, StartState},
    worker_state::Unanswered,
};

impl Cell {
    /// Returns and removes the answers that are due: those that are urgent, and those that were
    /// delayed long enough.
    pub fn take_commands(&mut self, now: Time) -> Vec<(worker::Id, Command)> {
        let delay = self.settings.answer_delay_micros;
        let is_due = |(_, worker_state): &(WorkerKey, &super::WorkerState)| {
            worker_state.unanswered.is_some_and(|unanswered| {
                worker_state.is_answer_urgent || now >= unanswered.received_at.plus_micros(delay)
            })
        };
        let due: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(is_due)
            .map(|(key, _)| key)
            .collect();
        let mut replies = Vec::with_capacity(due.len());
        for key in due {
            if let Some(command) = self.answer_report(key, now) {
                replies.push((self.workers[key].id.clone(), command));
            }
        }
        replies
    }

    /// Returns the answer to a worker's last report, unless it was already answered or the process
    /// may have lost the ownership.
    pub(super) fn answer_report(&mut self, worker: WorkerKey, now: Time) -> Option<Command> {
        if !self.is_owner(now) {
            return None;
        }
        let worker_state = self.workers.get_mut(worker)?;
        let unanswered = worker_state.unanswered.take()?;
        worker_state.is_answer_urgent = false;
        let mut command = Command {
            epoch: self.epoch,
            sequence: unanswered.sequence,
            lease_micros: self.settings.lease_micros,
            revision: self.revision_known,
            is_quiet: now >= worker_state.former_starts_until,
            stops: worker_state.untracked_stops.clone(),
            acknowledged: std::mem::take(&mut worker_state.acknowledged),
            ..Command::default()
        };
        for key in self.runs_of_worker(worker) {
            self.add_orders(key, unanswered, &mut command);
        }
        if !command.grants.is_empty()
            && let Some(worker_state) = self.workers.get_mut(worker)
        {
            worker_state.starts_until = self.settings.lease_end_bound(unanswered.received_at);
        }
        Some(command)
    }

    /// Adds the grant, stop or throttle of one attempt to an answer, and extends its lease if the
    /// answer renews it.
    fn add_orders(&mut self, key: RunKey, unanswered: Unanswered, command: &mut Command) {
        let lease_end_bound = self.settings.lease_end_bound(unanswered.received_at);
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let Some(job) = self.jobs.get(run.task.job) else {
            return;
        };
        let task = job.task_id(run.task.index);
        if run.start_state == StartState::Placed {
            run.start_state = StartState::Granted(unanswered.sequence);
            run.lease_end_bound = lease_end_bound;
            let record = job.records.get(&run.task.index);
            command.grants.push(Grant {
                task,
                attempt: run.attempt,
                team: job.spec.team.clone(),
                kind: job.spec.kind.clone(),
                demand: run.demand,
                payload: job.spec.payload.clone(),
                checkpoint: record.and_then(|(_, record)| record.checkpoint.clone()),
            });
            return;
        }
        if let Some(with_checkpoint) = run.requested_stop {
            command.stops.push(Stop {
                task,
                attempt: run.attempt,
                with_checkpoint,
            });
            return;
        }
        if run.is_renewed_by(unanswered) {
            run.lease_end_bound = run.lease_end_bound.max(lease_end_bound);
        }
        if let Some(share_percent) = run.pending_throttle.take() {
            command.throttles.push(Throttle {
                task,
                attempt: run.attempt,
                share_percent,
            });
        }
    }
}

impl Run {
    /// Returns whether the answered report contained the attempt, so that the answer renews its
    /// lease.
    fn is_renewed_by(&self, unanswered: Unanswered) -> bool {
        self.start_state == StartState::Reported && self.last_report_sequence == unanswered.sequence
    }
}
