//! Outcomes of starts and stops, and the calls that are due.

use toucanquay_model::{
    Epoch, Time,
    graph::Task,
    session::{Phase, Rejection, Stop},
};

use super::{Action, CallOutcome, Runner};

impl Runner {
    /// Returns the epoch and the identifier of the worker for the call of a start that is about to
    /// be sent, or `None` if the worker must not be called: its life has changed since the start was
    /// ordered, or may have, or its zone may have been evacuated, or the attempt was stopped.
    pub fn begin_start(&mut self, task: Task, attempt: u64, now: Time) -> Option<(Epoch, String)> {
        let is_same_life = self.worker.is_some() && self.announced_at.is_none();
        let is_accepting = is_same_life && !self.is_worker_silent;
        let state = self.runs.get_mut(&(task, attempt))?;
        if state.phase != Phase::Starting {
            return None;
        }
        if !is_accepting {
            state.phase = Phase::Rejected(Rejection::Refused);
            return None;
        }
        if now >= state.starts_until {
            state.phase = Phase::Rejected(Rejection::Outdated);
            return None;
        }
        Some((self.epoch, self.worker_id.clone()))
    }

    /// Returns the epoch for the call of a stop that is about to be sent, or `None` if the attempt
    /// is no longer to be stopped: it has ended, or a new owner has taken over since.
    #[must_use]
    pub fn begin_stop(&self, task: Task, attempt: u64) -> Option<Epoch> {
        let state = self.runs.get(&(task, attempt))?;
        (state.phase == Phase::Stopping).then_some(self.epoch)
    }

    /// Processes the outcome of a start call. Returns the paces to set.
    pub fn record_start_outcome(
        &mut self,
        task: Task,
        attempt: u64,
        outcome: CallOutcome,
        now: Time,
    ) -> Vec<Action> {
        let Some(state) = self.runs.get_mut(&(task, attempt)) else {
            return Vec::new();
        };
        match outcome {
            CallOutcome::Done => {
                state.confirm_running(now);
                if state.is_paced() {
                    return self.start_pacing((task, attempt), now);
                }
            }
            CallOutcome::Refused | CallOutcome::Unavailable if state.phase == Phase::Starting => {
                state.phase = Phase::Rejected(Rejection::Refused);
            }
            CallOutcome::Unknown if state.phase == Phase::Starting => {
                state.stop_at = now.plus_micros(self.settings.start_outcome_micros);
            }
            CallOutcome::Refused | CallOutcome::Unavailable | CallOutcome::Unknown => {}
        }
        Vec::new()
    }

    /// Processes the outcome of a stop call. The stop is repeated until a list or an end shows that
    /// the attempt is no longer on the worker.
    pub fn record_stop_outcome(
        &mut self,
        task: Task,
        attempt: u64,
        outcome: CallOutcome,
        now: Time,
    ) {
        let Some(state) = self.runs.get_mut(&(task, attempt)) else {
            return;
        };
        let retry_micros = match outcome {
            // The worker refuses each start of the attempt that arrives from now on.
            CallOutcome::Done => {
                state.confirm_stop(now);
                self.settings.stop_confirmation_micros
            }
            CallOutcome::Unavailable => self.settings.unavailable_retry_micros,
            // A refusal proves nothing about a start that may still arrive.
            CallOutcome::Refused | CallOutcome::Unknown => self.settings.retry_micros,
        };
        if state.phase == Phase::Stopping {
            state.stop_at = now.plus_micros(retry_micros);
        }
    }

    /// Returns the calls that are due: stops of starts without an outcome, and repeated stops and
    /// paces.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.due_paces(now);
        for ((task, attempt), state) in &mut self.runs {
            if now >= state.stop_at {
                state.stop_at = Time::NEVER;
                state.phase = Phase::Stopping;
                actions.push(Action::Stop(Stop {
                    task: *task,
                    attempt: *attempt,
                }));
            }
        }
        actions
    }
}
