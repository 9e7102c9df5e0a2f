//! Task table of a companion: grants, leases and results that are not acknowledged yet.

mod action;
mod entry;
mod event;
mod listed_attempt;
mod outcome;
mod settings;

use std::collections::BTreeMap;

use toucanquay_model::{
    Attempt, Epoch, Incarnation, Resources, Revision, Time,
    exchange::{Command, Grant, Refusal, Report, Stop, TaskReport, TaskState, Throttle},
    task, worker,
};

pub use action::Action;
use entry::Entry;
pub use event::Event;
pub use listed_attempt::ListedAttempt;
pub use outcome::Outcome;
pub use settings::Settings;

/// Identifies an attempt at a task.
type AttemptKey = (task::Id, Attempt);

/// Task table of one companion, the final authority on what its worker runs.
///
/// The caller executes the actions on the worker's task runtime and passes the runtime's results
/// back as events. The table relies on three guarantees of the runtime: it refuses a start whose
/// deadline has passed, it ends a task at the last deadline that it was given, and it keeps the
/// result of an ended attempt until it is told to forget it.
#[derive(Debug, Clone)]
pub struct Agent {
    settings: Settings,
    epoch: Epoch,
    sequence: u64,
    /// Whether the last report was not answered yet.
    is_awaiting_answer: bool,
    revision: Revision,
    revision_known: Revision,
    is_leaving: bool,
    /// Whether the runtime's attempts have been listed, so that a report is complete.
    has_task_list: bool,
    /// Whether a list that was requested at or after `settling_ends_at` has been applied.
    is_settled: bool,
    /// Until this time, a start that a former incarnation sent may still take effect.
    settling_ends_at: Time,
    next_list_at: Time,
    entries: BTreeMap<AttemptKey, Entry>,
    capacity_violations: u64,
}

impl Agent {
    /// Returns the task table of a companion that starts now.
    ///
    /// It requests a list of the running tasks and makes no report before it has one.
    #[must_use]
    pub const fn new(settings: Settings, now: Time) -> Self {
        let settling_ends_at = now.plus_micros(settings.settle_micros);
        Self {
            settings,
            epoch: 0,
            sequence: 0,
            is_awaiting_answer: false,
            revision: 0,
            revision_known: 0,
            is_leaving: false,
            has_task_list: false,
            is_settled: false,
            settling_ends_at,
            next_list_at: now,
            entries: BTreeMap::new(),
            capacity_violations: 0,
        }
    }

    /// Records the configuration revision that the companion holds and the highest revision known
    /// to exist.
    pub fn configure(&mut self, held: Revision, known: Revision) {
        self.revision = self.revision.max(held);
        self.revision_known = self.revision_known.max(known).max(held);
    }

    /// Starts to drain the worker: new tasks are refused, and running ones are stopped with a
    /// checkpoint.
    pub fn start_draining(&mut self, now: Time) -> Vec<Action> {
        self.is_leaving = true;
        let mut actions = Vec::new();
        for (key, entry) in &mut self.entries {
            if entry.is_active() {
                actions.push(entry.stop(key, true, self.settings.retry_at(now)));
            }
        }
        actions
    }

    /// Ends the draining, for example because the team was added again: the worker accepts tasks.
    pub const fn stop_draining(&mut self) {
        self.is_leaving = false;
    }

    /// Applies the owner's answer to the report that was sent at `sent_at`.
    ///
    /// An answer of an older epoch, or to a report other than the last one, changes nothing.
    pub fn apply_command(&mut self, command: &Command, sent_at: Time, now: Time) -> Vec<Action> {
        let is_last = self.is_awaiting_answer && command.sequence == self.sequence;
        if command.epoch < self.epoch || !is_last {
            return Vec::new();
        }
        self.is_awaiting_answer = false;
        self.epoch = command.epoch;
        self.revision_known = self.revision_known.max(command.revision);
        if command.is_quiet && self.settling_ends_at > now {
            self.settling_ends_at = now;
            self.next_list_at = now;
        }
        let lease_micros = command.lease_micros.min(self.settings.lease_micros_max);
        let deadline = sent_at.plus_micros(lease_micros);
        let mut actions = Vec::new();
        self.acknowledge_ends(&command.acknowledged);
        self.apply_stops(&command.stops, now, &mut actions);
        self.renew_leases(&command.stops, deadline, now, &mut actions);
        self.apply_throttles(&command.throttles, &mut actions);
        for grant in &command.grants {
            self.apply_grant(grant, deadline, now, &mut actions);
        }
        self.check_capacity();
        actions
    }

    /// Applies an event of the worker's task runtime.
    pub fn handle_event(&mut self, event: Event, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Task {
                task,
                attempt,
                outcome,
            } => self.apply_outcome(&(task, attempt), outcome, now, &mut actions),
            Event::Listed { called_at, tasks } => {
                self.apply_list(called_at, tasks, now, &mut actions);
            }
        }
        self.check_capacity();
        actions
    }

    /// Returns the actions that are due: lists, stops before the end of a lease, retried stops, and
    /// results that the runtime may forget.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.is_settled && now >= self.next_list_at {
            self.next_list_at = self.settings.next_list_at(now, self.settling_ends_at);
            actions.push(Action::List);
        }
        for (key, entry) in &mut self.entries {
            if let Some(with_checkpoint) = entry.due_stop(&self.settings, now) {
                actions.push(entry.stop(key, with_checkpoint, self.settings.retry_at(now)));
            }
        }
        self.forget_acknowledged(now, &mut actions);
        actions
    }

    /// Returns the next report, or `None` before the running tasks have been listed.
    ///
    /// The `sent_at` that is passed with its answer must not be later than the time of sending. The
    /// usage fields are left empty for the caller to fill.
    pub fn next_report(&mut self, _now: Time) -> Option<Report> {
        if !self.has_task_list {
            return None;
        }
        self.sequence += 1;
        self.is_awaiting_answer = true;
        let mut tasks = Vec::with_capacity(self.entries.len());
        for ((task, attempt), entry) in &mut self.entries {
            if entry.is_acknowledged {
                continue;
            }
            entry.is_reported = true;
            tasks.push(TaskReport {
                task: task.clone(),
                attempt: *attempt,
                demand: entry.demand,
                state: entry.state.clone(),
            });
        }
        Some(Report {
            worker: self.settings.worker.clone(),
            incarnation: self.settings.incarnation,
            sequence: self.sequence,
            epoch: self.epoch,
            revision: self.revision,
            is_leaving: self.is_leaving,
            is_settling: !self.is_settled,
            capacity: self.settings.capacity,
            tasks,
            task_usage: Vec::new(),
            service_usage: Vec::new(),
        })
    }

    /// Returns the id of the worker.
    #[must_use]
    pub const fn worker(&self) -> &worker::Id {
        &self.settings.worker
    }

    /// Returns the incarnation of the companion.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.settings.incarnation
    }

    /// Returns the highest owner epoch seen.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the total resources that attempts hold.
    #[must_use]
    pub fn held_resources(&self) -> Resources {
        self.entries_holding_resources()
            .fold(Resources::ZERO, |sum, entry| sum.plus(&entry.demand))
    }

    /// Returns the number of attempts that hold resources.
    #[must_use]
    pub fn running_attempts(&self) -> usize {
        self.entries_holding_resources().count()
    }

    /// Returns how often the attempts held more than the worker's capacity. A value other than zero
    /// is a bug, unless the capacity was lowered below what adopted tasks hold.
    #[must_use]
    pub const fn capacity_violations(&self) -> u64 {
        self.capacity_violations
    }

    /// Returns whether the worker is draining and has no task and no unacknowledged result left.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.is_leaving
            && self.is_settled
            && self.entries.values().all(|entry| entry.is_acknowledged)
    }

    /// Returns whether a newer configuration revision is known than the one held.
    #[must_use]
    pub const fn is_stale(&self) -> bool {
        self.revision_known > self.revision
    }

    fn entries_holding_resources(&self) -> impl Iterator<Item = &Entry> {
        self.entries
            .values()
            .filter(|entry| entry.state.holds_resources())
    }

    fn acknowledge_ends(&mut self, acknowledged: &[AttemptKey]) {
        for key in acknowledged {
            if let Some(entry) = self.entries.get_mut(key)
                && !entry.state.holds_resources()
            {
                entry.is_acknowledged = true;
            }
        }
    }

    /// Stops the attempts that the owner wants to end.
    fn apply_stops(&mut self, stops: &[Stop], now: Time, actions: &mut Vec<Action>) {
        for stop in stops {
            let key = (stop.task.clone(), stop.attempt);
            if let Some(entry) = self.entries.get_mut(&key)
                && entry.is_affected_by_stop(stop.with_checkpoint)
            {
                let retry_at = self.settings.retry_at(now);
                actions.push(entry.stop(&key, stop.with_checkpoint, retry_at));
            }
        }
    }

    /// Extends the leases of all reported attempts that the owner does not stop.
    fn renew_leases(
        &mut self,
        stops: &[Stop],
        deadline: Time,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let is_stopped = |key: &AttemptKey| {
            stops
                .iter()
                .any(|stop| stop.task == key.0 && stop.attempt == key.1)
        };
        for (key, entry) in &mut self.entries {
            if is_stopped(key) || !entry.is_renewable(deadline, now) {
                continue;
            }
            entry.deadline = deadline;
            actions.push(Action::Renew {
                task: key.0.clone(),
                attempt: key.1,
                deadline,
            });
        }
    }

    fn apply_throttles(&self, throttles: &[Throttle], actions: &mut Vec<Action>) {
        for throttle in throttles {
            let key = (throttle.task.clone(), throttle.attempt);
            if self.entries.get(&key).is_some_and(Entry::is_active) {
                actions.push(Action::Throttle {
                    task: key.0,
                    attempt: key.1,
                    share_percent: throttle.share_percent,
                });
            }
        }
    }

    /// Starts or refuses a granted attempt.
    fn apply_grant(&mut self, grant: &Grant, deadline: Time, now: Time, actions: &mut Vec<Action>) {
        let key = (grant.task.clone(), grant.attempt);
        if grant.attempt.epoch < self.epoch || self.entries.contains_key(&key) {
            return;
        }
        if now >= self.settings.stop_at(deadline) {
            // The answer arrived so late that the task would be stopped at once. The owner learns
            // from the next report, which lacks the attempt, that it was never started.
            return;
        }
        let state = match self.refusal_reason(grant) {
            Some(reason) => TaskState::Refused { reason },
            None => TaskState::Starting,
        };
        if state == TaskState::Starting {
            actions.push(Action::Start {
                grant: grant.clone(),
                deadline,
            });
        }
        self.entries
            .insert(key, Entry::from_grant(grant.demand, state, deadline));
    }

    /// Returns why a grant has to be refused, if so.
    fn refusal_reason(&self, grant: &Grant) -> Option<Refusal> {
        let same_task = |(key, entry): (&AttemptKey, &Entry)| {
            key.0 == grant.task && entry.state.holds_resources()
        };
        if self.is_leaving {
            return Some(Refusal::Leaving);
        }
        if !self.is_settled {
            return Some(Refusal::Settling);
        }
        if self.is_stale() {
            return Some(Refusal::StaleConfiguration);
        }
        if self.entries.iter().any(same_task) {
            return Some(Refusal::SameTask);
        }
        if !self
            .held_resources()
            .plus(&grant.demand)
            .fits(&self.settings.capacity)
        {
            return Some(Refusal::NoRoom);
        }
        None
    }

    fn apply_outcome(
        &mut self,
        key: &AttemptKey,
        outcome: Outcome,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let retry_at = self.settings.retry_at(now);
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        actions.extend(entry.apply_outcome(key, outcome, now, retry_at));
    }

    /// Adopts the attempts that only the runtime knows, and ends those that it does not know.
    fn apply_list(
        &mut self,
        called_at: Time,
        tasks: Vec<ListedAttempt>,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        if now >= called_at.plus_micros(self.settings.lease_micros_max) {
            // A list this old may contain attempts that the runtime was told to forget since then.
            return;
        }
        self.has_task_list = true;
        self.is_settled |= called_at >= self.settling_ends_at;
        for (key, entry) in &mut self.entries {
            let is_listed = tasks
                .iter()
                .any(|listed| listed.task == key.0 && listed.attempt == key.1);
            if !is_listed {
                actions.extend(entry.apply_outcome(
                    key,
                    Outcome::Absent { called_at },
                    now,
                    self.settings.retry_at(now),
                ));
            }
        }
        for listed in tasks {
            self.apply_listed(listed, now, actions);
        }
    }

    fn apply_listed(&mut self, listed: ListedAttempt, now: Time, actions: &mut Vec<Action>) {
        let key = (listed.task, listed.attempt);
        if self.entries.contains_key(&key) {
            if let Some(outcome) = Outcome::from_state(listed.state) {
                self.apply_outcome(&key, outcome, now, actions);
            }
            return;
        }
        self.epoch = self.epoch.max(key.1.epoch);
        let forget_at = now.plus_micros(self.settings.lease_micros_max);
        let mut entry =
            Entry::from_listed(listed.demand, listed.state, listed.deadline, forget_at, now);
        if self.is_leaving && entry.is_active() {
            actions.push(entry.stop(&key, true, self.settings.retry_at(now)));
        }
        self.entries.insert(key, entry);
    }

    /// Removes acknowledged attempts that no late start can reach any more.
    fn forget_acknowledged(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.entries.retain(|key, entry| {
            let is_forgettable = entry.is_acknowledged && now >= entry.forget_at;
            if is_forgettable && !matches!(entry.state, TaskState::Refused { .. }) {
                actions.push(Action::Forget {
                    task: key.0.clone(),
                    attempt: key.1,
                });
            }
            !is_forgettable
        });
    }

    /// Counts a violation if the attempts hold more than the worker's capacity.
    fn check_capacity(&mut self) {
        if !self.held_resources().fits(&self.settings.capacity) {
            self.capacity_violations += 1;
        }
    }
}
