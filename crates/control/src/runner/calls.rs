//! Outcomes of starts and stops, and the calls that are due.

use toucanquay_model::{
    Time,
    graph::Task,
    session::{Phase, Rejection, Stop},
};

use super::{Action, CallOutcome, Runner};

impl Runner {
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
