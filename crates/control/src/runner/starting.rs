//! Orders to start and to stop an attempt.

use toucanquay_model::{
    Time,
    session::{Orders, Phase, Rejection, Start, Stop},
};

use super::{Action, Runner, attempt_state::AttemptState};

impl Runner {
    pub(super) fn stop(&mut self, stop: Stop, actions: &mut Vec<Action>) {
        let key = (stop.task, stop.attempt);
        if self.ends.iter().any(|end| (end.task, end.attempt) == key) {
            return;
        }
        let state = self
            .runs
            .entry(key)
            .or_insert_with(AttemptState::discovered);
        match state.phase {
            Phase::Starting | Phase::Running => {
                state.phase = Phase::Stopping;
                state.stop_at = Time::NEVER;
                actions.push(Action::Stop(stop));
            }
            Phase::Stopping | Phase::Rejected(_) => {}
        }
    }

    /// Begins the start of an attempt, or records that it is rejected.
    pub(super) fn start(
        &mut self,
        start: &Start,
        rejection: Option<Rejection>,
        orders: &Orders,
        actions: &mut Vec<Action>,
    ) {
        let key = (start.task, start.attempt);
        if self.runs.contains_key(&key) {
            return;
        }
        let mut state = AttemptState::starting(start.profile, start.is_probe);
        state.starts_until = orders.starts_until.unwrap_or(Time::NEVER);
        match rejection {
            Some(reason) => state.phase = Phase::Rejected(reason),
            None => actions.push(Action::Start {
                start: start.clone(),
                lease_until: orders.stamp.plus_micros(self.settings.lease_micros),
            }),
        }
        self.runs.insert(key, state);
    }

    /// Returns why an attempt must not start on the worker as it is.
    pub(super) fn rejection(
        &self,
        start: &Start,
        lease_until: Time,
        now: Time,
    ) -> Option<Rejection> {
        let Some(worker) = &self.worker else {
            return Some(Rejection::Draining);
        };
        if worker.is_draining {
            return Some(Rejection::Draining);
        }
        // A start that reaches a later incarnation would run there unknown to the owner.
        if self.is_worker_silent || self.announced_at.is_some() {
            return Some(Rejection::Refused);
        }
        if lease_until < now.plus_micros(self.settings.start_lease_micros_min) {
            return Some(Rejection::LeaseOver);
        }
        let mut others = self.runs.iter();
        if others.any(|((task, _), state)| *task == start.task && state.is_on_worker()) {
            return Some(Rejection::SameTask);
        }
        let mut states = self.runs.values();
        if states.any(|state| state.is_on_worker() && state.profile.is_none()) {
            // The owner has yet to describe what was found on the worker.
            return Some(Rejection::NoRoom);
        }
        let occupied = self.occupied().plus(&start.profile.occupied);
        (!occupied.fits(&worker.capacity)).then_some(Rejection::NoRoom)
    }
}
