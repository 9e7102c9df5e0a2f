//! Attempts in a companion's task table.

use toucanquay_model::{
    Resources, Time,
    exchange::{Refusal, TaskState},
};

use super::{Action, AttemptKey, Outcome, Settings};

/// An attempt that holds resources, or whose end is not yet acknowledged and forgotten.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) demand: Resources,
    pub(super) state: TaskState,
    /// End of the lease.
    pub(super) deadline: Time,
    /// Until this time, a start that was sent may still reach the runtime, so the runtime has to
    /// remember how the attempt ended.
    pub(super) forget_at: Time,
    /// When the runtime first confirmed the start, or [`Time::NEVER`].
    pub(super) started_at: Time,
    pub(super) is_reported: bool,
    pub(super) is_acknowledged: bool,
    with_checkpoint: bool,
    retry_at: Time,
}

impl Entry {
    /// Returns an attempt that was granted by the owner.
    pub(super) const fn from_grant(demand: Resources, state: TaskState, deadline: Time) -> Self {
        Self {
            demand,
            state,
            deadline,
            forget_at: deadline,
            started_at: Time::NEVER,
            is_reported: false,
            is_acknowledged: false,
            with_checkpoint: false,
            retry_at: Time::NEVER,
        }
    }

    /// Returns an attempt that was found in the runtime's list.
    pub(super) fn from_listed(
        demand: Resources,
        state: TaskState,
        deadline: Time,
        forget_at: Time,
        now: Time,
    ) -> Self {
        Self {
            forget_at,
            started_at: now,
            retry_at: now,
            ..Self::from_grant(demand, state, deadline)
        }
    }

    /// Returns whether it is starting or running and no stop was sent.
    pub(super) const fn is_active(&self) -> bool {
        matches!(self.state, TaskState::Starting | TaskState::Running)
    }

    /// Returns whether a requested stop does more than the stop that was already sent.
    pub(super) fn is_affected_by_stop(&self, with_checkpoint: bool) -> bool {
        let is_upgrade =
            self.state == TaskState::Stopping && self.with_checkpoint && !with_checkpoint;
        self.is_active() || is_upgrade
    }

    /// Returns whether the owner's answer extends the lease to `deadline`.
    ///
    /// An expired lease is never extended, since the runtime may have ended the task.
    pub(super) fn is_renewable(&self, deadline: Time, now: Time) -> bool {
        self.is_reported
            && self.state.holds_resources()
            && now < self.deadline
            && deadline > self.deadline
    }

    /// Returns a stop and schedules its retry.
    pub(super) fn stop(
        &mut self,
        key: &AttemptKey,
        with_checkpoint: bool,
        retry_at: Time,
    ) -> Action {
        self.state = TaskState::Stopping;
        self.with_checkpoint = with_checkpoint;
        self.retry_at = retry_at;
        Action::Stop {
            task: key.0.clone(),
            attempt: key.1,
            with_checkpoint,
        }
    }

    /// Returns whether a stop is due and, if so, whether it takes a checkpoint.
    pub(super) fn due_stop(&self, settings: &Settings, now: Time) -> Option<bool> {
        let is_expired = now >= self.deadline;
        match self.state {
            TaskState::Starting | TaskState::Running if now >= settings.stop_at(self.deadline) => {
                Some(!is_expired)
            }
            TaskState::Stopping if now >= self.retry_at => {
                Some(self.with_checkpoint && !is_expired)
            }
            _ => None,
        }
    }

    /// Applies an outcome. Returns a stop if one has become possible or necessary.
    pub(super) fn apply_outcome(
        &mut self,
        key: &AttemptKey,
        outcome: Outcome,
        now: Time,
        retry_at: Time,
    ) -> Option<Action> {
        if !self.state.holds_resources() {
            return None;
        }
        match outcome {
            Outcome::Started => return self.confirm_start(key, now, retry_at),
            Outcome::StartUnanswered if self.state == TaskState::Starting => {
                return Some(self.stop(key, false, retry_at));
            }
            Outcome::StartUnanswered => {}
            Outcome::StartRefused => {
                self.state = TaskState::Refused {
                    reason: Refusal::Runtime,
                };
            }
            Outcome::Finished => self.state = TaskState::Finished,
            Outcome::Failed { reason } => self.state = TaskState::Failed { reason },
            Outcome::Stopped { checkpoint } => self.state = TaskState::Stopped { checkpoint },
            Outcome::Absent { called_at } => {
                // A start that is still on its way can take effect until its deadline.
                if called_at > self.started_at || called_at >= self.forget_at {
                    self.state = TaskState::Stopped { checkpoint: None };
                }
            }
        }
        None
    }

    /// Applies the confirmation of a start.
    fn confirm_start(&mut self, key: &AttemptKey, now: Time, retry_at: Time) -> Option<Action> {
        let is_first = self.started_at == Time::NEVER;
        self.started_at = self.started_at.min(now);
        if self.state == TaskState::Starting {
            self.state = TaskState::Running;
            return None;
        }
        // A stop that overtook the start had no effect.
        is_first.then(|| self.stop(key, self.with_checkpoint, retry_at))
    }
}
