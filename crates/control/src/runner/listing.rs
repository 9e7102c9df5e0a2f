//! Processing of the worker's lists.

use toucanquay_model::{
    Time,
    session::{End, Phase, Rejection},
};

use super::{
    Action, AttemptList, ListedAttempt, Runner, SAMPLE_DELAY_MICROS, attempt_state::AttemptState,
};

/// Number of consecutive failed requests for a list after which a worker may count as silent.
const FAILED_LISTS_MIN: u32 = 2;

impl Runner {
    /// Processes the worker's list of attempts. Returns the paces to set.
    pub fn apply_list(&mut self, list: AttemptList, now: Time) -> Vec<Action> {
        if let Some(exit) = self.exit.take_if(|exit| exit.is_refuted_by(&list)) {
            self.refute_exit(exit);
        }
        let is_requested_since = list.called_at > self.list_received_at;
        let is_later = self.births.is_later(list.incarnation, is_requested_since);
        let is_present = list.incarnation == self.births.current() && !self.has_worker_exited;
        if !is_later && !is_present {
            return Vec::new();
        }
        self.record_answer();
        if is_later {
            self.begin_incarnation(list.incarnation, now);
        }
        if self.listed_at.is_some_and(|last| list.called_at < last) {
            return Vec::new();
        }
        self.listed_at = Some(list.called_at);
        self.announced_at.take_if(|at| list.called_at >= *at);
        self.list_received_at = now;
        self.failed_lists = 0;
        self.is_worker_silent = false;
        if !list.is_partial {
            self.has_complete_list = true;
        }
        let is_exhaustive = !list.is_partial && !list.has_more_ends;
        if is_exhaustive {
            self.fenced_epoch = self.fenced_epoch.max(list.epoch);
        }
        let called_at = list.called_at;
        for state in self.runs.values_mut() {
            state.is_listed = false;
        }
        let mut is_renewed = false;
        for listed in list.running {
            is_renewed |= self.merge_listed(listed, now);
        }
        for end in list.finished {
            self.record_end(end, now);
        }
        let is_delayed = now > called_at.plus_micros(self.settings.list_micros_max);
        // The worker may have written it as soon as it was requested, and may have crashed since.
        let alive_at = if is_delayed { called_at } else { now };
        for state in self.runs.values_mut() {
            state.outlive_start(self.settings.start_risk_micros, alive_at);
        }
        let sample_valid_at = self.samples_invalidated_at.plus_micros(SAMPLE_DELAY_MICROS);
        let is_sample = is_renewed && now >= sample_valid_at;
        self.has_sample |= is_sample;
        if is_exhaustive {
            self.resolve_unlisted(called_at);
        }
        if is_sample {
            self.update_model();
        }
        let has_ended = self.samples_invalidated_at == now;
        if is_renewed || has_ended {
            return self.update_paces(now);
        }
        Vec::new()
    }

    /// Records that a request for the worker's list failed. Returns whether the worker counts as
    /// silent from now on.
    ///
    /// Heartbeats don't end a silence: only a list shows that the worker's lease was renewed. One
    /// request is not enough: it may be lost with its connection, or with the time for which this
    /// process was paused.
    pub fn record_failed_list(&mut self, now: Time) -> bool {
        self.failed_lists = self.failed_lists.saturating_add(1);
        let silent_at = self
            .list_received_at
            .plus_micros(self.settings.silence_micros);
        let is_silent =
            self.has_complete_list && self.failed_lists >= FAILED_LISTS_MIN && now >= silent_at;
        let has_changed = is_silent && !self.is_worker_silent;
        self.is_worker_silent |= is_silent;
        has_changed
    }

    /// Processes an attempt that the worker lists as running. Returns whether its gauge was
    /// renewed.
    fn merge_listed(&mut self, listed: ListedAttempt, now: Time) -> bool {
        let key = (listed.task, listed.attempt);
        let profile = self.unlisted_profiles.get(&key).copied();
        let state = self
            .runs
            .entry(key)
            .or_insert_with(|| AttemptState::found(profile));
        state.is_listed = true;
        state.confirm_running(now);
        state.checkpoint = listed.checkpoint;
        state.done_percent = listed.done_percent;
        state.record_gauge(listed.gauge, now)
    }

    fn record_end(&mut self, end: End, now: Time) {
        if end.number <= self.last_listed_end {
            return;
        }
        self.last_listed_end = end.number;
        let state = self.runs.remove(&(end.task, end.attempt));
        if state.is_some_and(|state| state.uses_idle()) {
            self.invalidate_samples(now);
        }
        if end.number > self.acknowledged {
            self.ends.push(end);
        }
    }

    /// Resolves the attempts that an exhaustive list requested at `called_at` would show if they were
    /// on the worker or had ended there, but doesn't.
    fn resolve_unlisted(&mut self, called_at: Time) {
        self.runs.retain(|key, state| {
            let is_resolvable = state.outcome_known_at.is_some_and(|at| called_at >= at);
            if state.is_listed || !is_resolvable {
                return true;
            }
            if state.phase == Phase::Stopping {
                state.phase = Phase::Rejected(Rejection::Stopped);
                state.stop_at = Time::NEVER;
                return true;
            }
            let is_rejected = matches!(state.phase, Phase::Rejected(_));
            if !is_rejected && let Some(profile) = state.profile {
                self.unlisted_profiles.insert(*key, profile);
            }
            is_rejected
        });
    }
}
