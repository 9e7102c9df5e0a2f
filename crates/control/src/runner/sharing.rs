//! Pacing of tasks that use idle processors beside latency-sensitive tasks on the same worker.

use smallvec::SmallVec;
use toucanquay_model::{Time, graph::Task};
use toucanquay_policy::image_interference::{Estimate, Neighbour};

use super::{
    Action, AttemptKey, CallOutcome, Runner,
    attempt_state::AttemptState,
    pacer::{self, PacedAttempt, PerSensitiveTask},
};

/// Time for which a latency may exceed its target before all neighbours are paused, in
/// microseconds. After that time the learned effects must be wrong.
const OVER_TARGET_MICROS_MAX: u64 = 1_200_000;

impl Runner {
    /// Returns whether the worker runs both sensitive attempts and attempts that are paced for
    /// them.
    #[must_use]
    pub fn needs_pacing(&self) -> bool {
        let mut states = self.runs.values();
        let has_paced = self.runs.values().any(AttemptState::is_paced);
        has_paced && states.any(|state| state.sensitive_image().is_some())
    }

    /// Updates the interference model from gauges that cover only the current attempts.
    pub(super) fn update_model(&mut self) {
        let neighbours: SmallVec<[Neighbour; 8]> = self
            .runs
            .values()
            .filter(|state| state.is_paced())
            .map(|state| Neighbour {
                image: state.image(),
                processor_share: self.processor_share(state.gauge.current()),
            })
            .collect();
        for state in self.runs.values_mut() {
            let Some(image) = state.sensitive_image() else {
                continue;
            };
            let floor_ms = state.profile.map_or(0, |profile| profile.latency_floor_ms);
            self.model.record_latency(image, floor_ms);
            self.model.record_latency(image, state.gauge.min_average());
            let latency_ms = f64::from(state.gauge.current());
            if latency_ms == 0.0 {
                continue;
            }
            self.model
                .observe(image, latency_ms, &mut state.load, &neighbours);
        }
    }

    /// Converts thousandths of a processor to a fraction of the worker's processors.
    fn processor_share(&self, milli: u32) -> f64 {
        let capacity = self.worker.as_ref().map(|worker| worker.capacity);
        let capacity_milli = capacity.map_or(1, |capacity| capacity.processors_milli.max(1));
        f64::from(milli) / f64::from(capacity_milli)
    }

    /// Returns the image of each sensitive attempt and how much neighbours may add to its slowdown.
    fn headrooms(&self) -> SmallVec<[(usize, f64); 8]> {
        let headroom = |state: &AttemptState| {
            let image = state.sensitive_image()?;
            let headroom =
                self.model
                    .headroom(image, state.load.value, state.latency_setpoint_ms());
            Some((image, headroom))
        };
        self.runs.values().filter_map(headroom).collect()
    }

    /// Returns what an attempt at full pace adds to the slowdown of each sensitive attempt, as
    /// estimated and one standard deviation higher.
    fn effects(
        &self,
        state: &AttemptState,
        sensitive: &[(usize, f64)],
    ) -> (PerSensitiveTask, PerSensitiveTask) {
        let share = self.processor_share(state.profile.map_or(0, |profile| profile.idle_milli));
        let estimate = |(image, _): &(usize, f64)| self.model.estimate(*image, state.image());
        let effect = |estimate: Estimate| estimate.value * share;
        let effect_max = |estimate: Estimate| (estimate.value + estimate.deviation()) * share;
        let estimates: SmallVec<[Estimate; 8]> = sensitive.iter().map(estimate).collect();
        (
            estimates.iter().copied().map(effect).collect(),
            estimates.iter().copied().map(effect_max).collect(),
        )
    }

    /// Recomputes the paces for the current loads, and returns the calls that are due.
    pub(super) fn update_paces(&mut self, now: Time) -> Vec<Action> {
        for key in self.recompute_paces(now) {
            self.mark_pace_due(key, now);
        }
        self.due_paces(now)
    }

    /// Recomputes the paces for the current loads, and returns those that have changed.
    fn recompute_paces(&mut self, now: Time) -> Vec<AttemptKey> {
        let is_over_target = self.runs.values().any(|state| {
            let since = state.over_target_since.unwrap_or(Time::NEVER);
            now >= since.plus_micros(OVER_TARGET_MICROS_MAX)
        });
        let sensitive = self.headrooms();
        let headrooms: PerSensitiveTask = sensitive.iter().map(|(_, headroom)| *headroom).collect();
        let effects: Vec<(PerSensitiveTask, PerSensitiveTask)> = self
            .runs
            .values()
            .filter(|state| state.is_paced())
            .map(|state| self.effects(state, &sensitive))
            .collect();
        let paced = self.runs.iter_mut().filter(|(_, state)| state.is_paced());
        let mut attempts: Vec<PacedAttempt<'_, AttemptKey>> = paced
            .zip(effects)
            .map(|((key, state), (effects, effects_max))| PacedAttempt {
                key: *key,
                effects,
                effects_max,
                percent: &mut state.pace_percent,
            })
            .collect();
        let changed = if is_over_target {
            pacer::pause_all(&mut attempts)
        } else {
            pacer::assign_paces(&mut attempts, &headrooms)
        };
        changed.into_iter().map(|(key, _)| key).collect()
    }

    /// Recomputes the paces when an attempt that uses idle processors has started. The worker
    /// starts it at full pace, so a call is needed for any other pace.
    pub(super) fn start_pacing(&mut self, key: AttemptKey, now: Time) -> Vec<Action> {
        if let Some(state) = self.runs.get_mut(&key) {
            state.pace_percent = 0;
        }
        self.invalidate_samples(now);
        for changed in self.recompute_paces(now) {
            if changed != key {
                self.mark_pace_due(changed, now);
            }
        }
        if let Some(state) = self.runs.get_mut(&key) {
            let current = state.pace_sent_percent;
            let current = current.unwrap_or(AttemptState::FULL_PACE_PERCENT);
            if state.pace_percent != current {
                state.pace_at = now;
            }
        }
        self.due_paces(now)
    }

    /// Recomputes the paces when attempts that use idle processors were found on the worker. The
    /// paces that have changed are due, and so are those of the found attempts, which are unknown.
    pub(super) fn pace_found(&mut self, found: &[AttemptKey], now: Time) {
        for key in found {
            if let Some(state) = self.runs.get_mut(key) {
                state.pace_percent = 0;
            }
        }
        self.invalidate_samples(now);
        for key in self.recompute_paces(now).iter().chain(found) {
            self.mark_pace_due(*key, now);
        }
    }

    fn mark_pace_due(&mut self, key: AttemptKey, now: Time) {
        if let Some(state) = self.runs.get_mut(&key) {
            state.pace_at = now;
        }
    }

    /// Processes the outcome of a call to set a pace. The pace is due again if it may not be set, if
    /// another one is needed by now, or if an unanswered call may still set another one.
    pub fn record_pace_outcome(
        &mut self,
        task: Task,
        attempt: u64,
        outcome: CallOutcome,
        now: Time,
    ) {
        let Some(state) = self.runs.get_mut(&(task, attempt)) else {
            return;
        };
        state.pace_call_until = Time::ZERO;
        if outcome == CallOutcome::Unknown {
            state.pace_uncertain_until = now.plus_micros(self.settings.late_call_micros);
        }
        let is_current = state.pace_sent_percent == Some(state.pace_percent);
        state.pace_at = match outcome {
            CallOutcome::Unavailable => now.plus_micros(self.settings.unavailable_retry_micros),
            _ if !is_current => now,
            CallOutcome::Done if now < state.pace_uncertain_until => {
                now.plus_micros(self.settings.pace_confirmation_micros)
            }
            CallOutcome::Done => Time::NEVER,
            CallOutcome::Refused | CallOutcome::Unknown => {
                now.plus_micros(self.settings.retry_micros)
            }
        };
    }

    /// Returns the calls that set the paces that are due.
    pub(super) fn due_paces(&mut self, now: Time) -> Vec<Action> {
        let mut due: SmallVec<[(AttemptKey, u8); 8]> = SmallVec::new();
        for (key, state) in &mut self.runs {
            if state.is_pace_due(now) {
                state.pace_sent_percent = Some(state.pace_percent);
                state.pace_call_until = now.plus_micros(self.settings.pace_call_micros);
                // If no outcome arrives, the pace is due again.
                state.pace_at = state.pace_call_until;
                due.push((*key, state.pace_percent));
            }
        }
        let action = |(key, percent)| self.pace_action(key, percent);
        due.into_iter().map(action).collect()
    }

    fn pace_action(&self, (task, attempt): AttemptKey, percent: u8) -> Action {
        let latencies = self.runs.values().filter_map(AttemptState::latency_percent);
        Action::Pace {
            task,
            attempt,
            percent,
            latency_percent: latencies.max(),
        }
    }

    /// Marks earlier gauges as unusable for the model, because the set of attempts that use idle
    /// processors has changed.
    pub(super) const fn invalidate_samples(&mut self, now: Time) {
        self.samples_invalidated_at = now;
        self.has_sample = false;
    }
}
