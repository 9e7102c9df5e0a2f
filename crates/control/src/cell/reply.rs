//! Answers to companions.

use toucanquay_model::{
    Time,
    exchange::{Command, Grant, Stop, Throttle},
    worker,
};

use super::{
    Cell,
    key::{RunKey, WorkerKey},
    member::Unanswered,
    run::{Run, Stage},
};

impl Cell {
    /// Takes the answers that are due: those with something to order, and those that were held
    /// back long enough.
    pub fn drain_replies(&mut self, now: Time) -> Vec<(worker::Id, Command)> {
        let hold = self.settings.answer_hold_micros;
        let is_due = |(_, member): &(WorkerKey, &super::Member)| {
            member.unanswered.is_some_and(|unanswered| {
                member.is_urgent || now >= unanswered.received_at.plus_micros(hold)
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
            if let Some(command) = self.reply(key, now) {
                replies.push((self.workers[key].id.clone(), command));
            }
        }
        replies
    }

    /// Makes the answer to a worker's last report, unless it has one or the process may have lost
    /// the role.
    pub(super) fn reply(&mut self, worker: WorkerKey, now: Time) -> Option<Command> {
        if !self.is_owner(now) {
            return None;
        }
        let member = self.workers.get_mut(worker)?;
        let unanswered = member.unanswered.take()?;
        member.is_urgent = false;
        let mut command = Command {
            epoch: self.epoch,
            sequence: unanswered.sequence,
            lease_micros: self.settings.lease_micros,
            revision: self.revision_known,
            is_quiet: now >= member.quiet_at,
            stops: member.foreign_stops.clone(),
            acknowledged: std::mem::take(&mut member.acknowledged),
            ..Command::default()
        };
        for key in self.runs_of(worker) {
            self.order(key, unanswered, &mut command);
        }
        if !command.grants.is_empty()
            && let Some(member) = self.workers.get_mut(worker)
        {
            member.start_until = self.settings.bound(unanswered.received_at);
        }
        Some(command)
    }

    /// Adds to an answer what one attempt needs, and moves its bound if the answer renews it.
    fn order(&mut self, key: RunKey, unanswered: Unanswered, command: &mut Command) {
        let bound = self.settings.bound(unanswered.received_at);
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let Some(job) = self.jobs.get(run.task.job) else {
            return;
        };
        let task = job.task_id(run.task.index);
        if run.stage == Stage::Placed {
            run.stage = Stage::Granted(unanswered.sequence);
            run.bound = bound;
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
        if let Some(with_checkpoint) = run.stop {
            command.stops.push(Stop {
                task,
                attempt: run.attempt,
                with_checkpoint,
            });
            return;
        }
        if run.is_renewed_by(unanswered) {
            run.bound = run.bound.max(bound);
        }
        if let Some(share_percent) = run.throttle.take() {
            command.throttles.push(Throttle {
                task,
                attempt: run.attempt,
                share_percent,
            });
        }
    }
}

impl Run {
    /// Tells whether the report that is answered had the attempt, so that the answer renews it.
    fn is_renewed_by(&self, unanswered: Unanswered) -> bool {
        self.stage == Stage::Reported && self.reported == unanswered.sequence
    }
}
