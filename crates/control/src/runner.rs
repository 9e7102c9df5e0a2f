//! State machine of an agent, the part of a companion that receives the owner's orders in sessions:
//! the attempts on its worker, ends that are not acknowledged, the worker's lease, and the pace of
//! tasks that use idle processors.

mod action;
mod attempt_list;
mod attempt_state;
mod births;
mod call_outcome;
mod calls;
mod exit;
mod gauge_estimator;
mod heartbeat;
mod heartbeats;
mod incarnations;
mod listed_attempt;
mod listing;
mod pacer;
mod refusals;
mod settings;
mod sharing;
mod starting;

use std::collections::BTreeMap;

use smallvec::SmallVec;
use toucanquay_model::{
    Epoch, Incarnation, Resources, Time,
    graph::Task,
    session::{AttemptStatus, Crash, End, Orders, Phase, Profile, Rejection, Update, Worker},
};
use toucanquay_policy::image_interference::{Estimate, InterferenceModel};

use crate::scheduler::LEASE_MARGIN_MICROS;

pub use action::Action;
pub use attempt_list::AttemptList;
use attempt_state::AttemptState;
pub use births::Births;
pub use call_outcome::CallOutcome;
use exit::Exit;
pub use heartbeat::Heartbeat;
pub use listed_attempt::ListedAttempt;
use refusals::Refusals;
pub use settings::Settings;

/// Time after an attempt that uses idle processors has started or ended until renewed gauges cover
/// only the current attempts, in microseconds. A change of pace needs no such delay: latencies and
/// processors in use cover the same time.
const SAMPLE_DELAY_MICROS: u64 = 300_000;

/// Task and number of an attempt.
type AttemptKey = (Task, u64);

/// Attempts on one worker, as its companion knows them.
///
/// The worker itself enforces nothing. The companion is the final authority on its capacity, on
/// running at most one attempt of a task, and on starting nothing while the worker drains.
#[derive(Debug)]
pub struct Runner {
    settings: Settings,
    epoch: Epoch,
    last_applied: u64,
    last_update: u64,
    /// When the last orders arrived, or this process started.
    ordered_at: Time,
    lease_until: Time,
    /// Highest epoch of a call that this incarnation of the worker has answered with a list of all
    /// attempts and ends. It ignores calls of lower epochs.
    fenced_epoch: Epoch,
    worker: Option<Worker>,
    worker_id: String,
    /// Whether the worker has exited and no later incarnation was seen.
    has_worker_exited: bool,
    /// Whether its address refuses connections since then, so that nothing runs on it.
    is_exit_confirmed: bool,
    refusals: Refusals,
    /// The exit that was inferred from refused connections, until a later incarnation is seen.
    exit: Option<Exit>,
    last_heartbeat: u64,
    /// Last heartbeat of an incarnation that the worker itself has not confirmed by a list.
    unconfirmed_heartbeat: Option<Heartbeat>,
    /// When that incarnation was first announced, until a later list of the known incarnation
    /// refutes it.
    announced_at: Option<Time>,
    /// Number of the worker's life, by which the owner knows it: its start time, or a higher number if
    /// a former life had that or a later one.
    incarnation: Incarnation,
    births: Births,
    /// When the last list was requested.
    listed_at: Option<Time>,
    /// When the last list arrived.
    list_received_at: Time,
    /// Number of failed requests for a list since then.
    failed_lists: u32,
    /// Whether the worker is silent, so that its lease must not be extended.
    is_worker_silent: bool,
    /// Whether a complete list has shown what this incarnation of the worker runs.
    has_complete_list: bool,
    /// When an attempt that uses idle processors last started or ended.
    samples_invalidated_at: Time,
    /// Whether renewed gauges that cover the current attempts were listed since the last update.
    has_sample: bool,
    runs: BTreeMap<AttemptKey, AttemptState>,
    /// Profiles of the attempts that have left the worker's lists since the last update. The owner
    /// doesn't describe one again that is listed again before it learns of this.
    unlisted_profiles: BTreeMap<AttemptKey, Profile>,
    ends: Vec<End>,
    last_listed_end: u64,
    acknowledged: u64,
    /// Crashes of the worker that the owner has not acknowledged.
    crashes: Vec<Crash>,
    /// Interference between images. Its keys are assigned by the owner.
    model: InterferenceModel,
}

impl Runner {
    /// Returns the state of a companion that has just started.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            ordered_at: settings.started_at,
            settings,
            epoch: 0,
            last_applied: 0,
            last_update: 0,
            lease_until: Time::ZERO,
            fenced_epoch: 0,
            worker: None,
            worker_id: String::new(),
            has_worker_exited: false,
            is_exit_confirmed: false,
            refusals: Refusals::default(),
            exit: None,
            last_heartbeat: 0,
            unconfirmed_heartbeat: None,
            announced_at: None,
            incarnation: 0,
            births: Births::default(),
            listed_at: None,
            list_received_at: Time::ZERO,
            failed_lists: 0,
            is_worker_silent: false,
            has_complete_list: false,
            samples_invalidated_at: Time::ZERO,
            has_sample: false,
            runs: BTreeMap::new(),
            unlisted_profiles: BTreeMap::new(),
            ends: Vec::new(),
            last_listed_end: 0,
            acknowledged: 0,
            crashes: Vec::new(),
            model: InterferenceModel::default(),
        }
    }

    /// Begins a session with the owner of `epoch`. Returns `false` if a later owner is known.
    ///
    /// Stops of a former owner that the worker hasn't carried out are withdrawn if the attempt is
    /// listed: the worker would carry out their repetition, whose epoch is the new one.
    pub fn begin_session(&mut self, epoch: Epoch) -> bool {
        if epoch < self.epoch {
            return false;
        }
        if epoch > self.epoch {
            // Another owner assigns other keys to images.
            self.model = InterferenceModel::default();
            for state in self.runs.values_mut() {
                state.withdraw_stop();
            }
        }
        self.epoch = epoch;
        self.last_applied = 0;
        true
    }

    /// Applies orders of the session's owner and returns the calls to the worker that they require.
    /// Orders of another epoch and those that were already applied are ignored.
    pub fn apply_orders(&mut self, orders: &Orders, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        if orders.epoch != self.epoch || orders.number <= self.last_applied {
            return actions;
        }
        self.last_applied = orders.number;
        self.ordered_at = now;
        let lease_until = orders.stamp.plus_micros(self.settings.lease_micros);
        self.lease_until = self.lease_until.max(lease_until);
        self.acknowledge(orders);
        self.merge_effects(orders);
        // On a worker that has exited, there is nothing to stop.
        if !self.has_worker_exited {
            for stop in &orders.stops {
                self.stop(*stop, &mut actions);
            }
        }
        self.set_profiles(orders, now);
        let is_other_incarnation = orders.worker != self.incarnation;
        for start in &orders.starts {
            let rejection = if is_other_incarnation {
                Some(Rejection::OtherLife)
            } else if orders.starts_until.is_some_and(|until| now >= until) {
                Some(Rejection::Outdated)
            } else {
                self.rejection(start, lease_until, now)
            };
            self.start(start, rejection, orders, &mut actions);
        }
        actions
    }

    /// Builds the next update for the owner. Its number is one higher than that of the last one.
    pub fn next_update(&mut self, now: Time) -> Update {
        self.last_update += 1;
        self.unlisted_profiles.clear();
        for state in self.runs.values_mut() {
            if matches!(state.phase, Phase::Rejected(_)) {
                state.reported_in.get_or_insert(self.last_update);
            }
        }
        let runs = self
            .runs
            .iter()
            .map(|((task, attempt), state)| AttemptStatus {
                task: *task,
                attempt: *attempt,
                phase: state.phase,
                checkpoint: state.checkpoint.clone(),
                done_percent: state.done_percent,
                gauge: state.gauge.current(),
                gauge_min: state.gauge.min_average(),
                pace_percent: state.pace_percent,
                has_survived_start: state.has_survived_start,
            });
        Update {
            host: self.settings.host.clone(),
            process: self.settings.process,
            number: self.last_update,
            stamp: now,
            epoch: self.epoch,
            applied: self.last_applied,
            is_settled: self.is_settled(now),
            has_sample: std::mem::take(&mut self.has_sample),
            // The worker is reported only once a complete list has shown what it runs.
            worker: self.worker.clone().filter(|_| self.is_worker_reported()),
            // A later life of the worker may run attempts that it was sent before it was noticed.
            // Until it announces itself, nothing is known about it.
            is_worker_silent: self.is_worker_silent || self.is_worker_unannounced(),
            runs: runs.collect(),
            ends: self.ends.clone(),
            crashes: self.crashes.clone(),
        }
    }

    /// Returns when the worker's lease expires, by the clock of this process.
    #[must_use]
    pub const fn lease_until(&self) -> Time {
        self.lease_until
    }

    /// Returns when the last orders arrived, or when this process started.
    #[must_use]
    pub const fn ordered_at(&self) -> Time {
        self.ordered_at
    }

    /// Returns the number of the last end that the owner has acknowledged as durable.
    #[must_use]
    pub const fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// Returns the highest owner epoch that is known.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the number of the last end that the worker has listed.
    #[must_use]
    pub const fn last_listed_end(&self) -> u64 {
        self.last_listed_end
    }

    /// Returns whether ends wait for an acknowledgement.
    #[must_use]
    pub fn has_unacknowledged_ends(&self) -> bool {
        !self.ends.is_empty()
    }

    /// Returns a value that differs after each change that must be reported to the owner at once.
    #[must_use]
    pub fn digest(&self) -> (Incarnation, u64, usize, usize, usize, bool) {
        let rejected = |state: &&AttemptState| !state.is_on_worker();
        let probed = |state: &&AttemptState| state.is_probe && state.is_suspect();
        (
            self.incarnation,
            self.last_listed_end,
            self.runs.len(),
            self.runs.values().filter(rejected).count(),
            self.runs.values().filter(probed).count(),
            self.is_worker_reported(),
        )
    }

    /// Returns whether an attempt's start has an unknown outcome, or its stop isn't confirmed, so that
    /// the owner can't start its task again until a list shows the outcome.
    #[must_use]
    pub fn has_unresolved_attempt(&self) -> bool {
        let is_unresolved =
            |state: &AttemptState| state.phase == Phase::Stopping || state.stop_at != Time::NEVER;
        self.runs.values().any(is_unresolved)
    }

    /// Returns whether the owner waits to learn whether the worker outlives a start.
    #[must_use]
    pub fn has_probe(&self) -> bool {
        let mut states = self.runs.values();
        states.any(|state| state.is_probe && state.is_suspect())
    }

    /// Returns the worker, if it is known.
    #[must_use]
    pub const fn worker(&self) -> Option<&Worker> {
        self.worker.as_ref()
    }

    /// Returns whether the worker has exited, which ends all its attempts.
    #[must_use]
    pub const fn has_worker_exited(&self) -> bool {
        self.has_worker_exited
    }

    /// Returns the identifier of the worker from its last heartbeat.
    #[must_use]
    pub fn worker_id(&self) -> &str {
        &self.worker_id
    }

    /// Returns the resources that the attempts on the worker occupy, including those that are
    /// starting or stopping.
    #[must_use]
    pub fn occupied(&self) -> Resources {
        let on_worker = self.runs.values().filter(|state| state.is_on_worker());
        on_worker
            .filter_map(|state| state.profile)
            .fold(Resources::ZERO, |sum, profile| sum.plus(&profile.occupied))
    }

    /// Returns whether a worker that has not announced itself was listed.
    #[must_use]
    pub const fn is_worker_unannounced(&self) -> bool {
        self.has_complete_list && self.worker.is_none()
    }

    /// Returns whether updates contain the worker: a complete list has shown what it runs, and it
    /// isn't silent.
    const fn is_worker_reported(&self) -> bool {
        self.has_complete_list && !self.is_worker_silent
    }

    /// Returns whether the owner knows by this update all that runs on the worker by order of a
    /// former owner: the worker has answered a call of the current epoch, and ignores calls of lower
    /// ones, or its address refuses connections, or its lease has ended.
    fn is_settled(&self, now: Time) -> bool {
        // Without its worker, an update doesn't show the owner what was listed.
        let is_reported = self.worker.is_some() && self.is_worker_reported();
        let is_fenced = is_reported && self.fenced_epoch >= self.epoch;
        self.epoch > 0 && (is_fenced || self.is_exit_confirmed || now >= self.lease_end_bound())
    }

    /// Returns an upper bound for the end of each lease that this process or a former one may have
    /// renewed.
    fn lease_end_bound(&self) -> Time {
        let Settings {
            started_at,
            lease_micros,
            ..
        } = &self.settings;
        let former_lease_until = started_at.plus_micros(*lease_micros);
        let lease_until = self.lease_until.max(former_lease_until);
        lease_until.plus_micros(LEASE_MARGIN_MICROS)
    }

    fn acknowledge(&mut self, orders: &Orders) {
        self.crashes
            .retain(|crash| crash.worker > orders.crashes_acknowledged);
        if orders.worker == self.incarnation {
            self.acknowledged = self.acknowledged.max(orders.acknowledged);
            self.ends.retain(|end| end.number > self.acknowledged);
        }
        self.runs.retain(|_, state| {
            let is_known = state
                .reported_in
                .is_some_and(|number| number <= orders.update);
            !is_known
        });
    }

    fn merge_effects(&mut self, orders: &Orders) {
        for effect in &orders.effects {
            let value = f64::from(effect.percent) / 100.0;
            let deviation = f64::from(effect.deviation_percent) / 100.0;
            self.model.merge_estimate(
                effect.sensitive as usize,
                effect.other as usize,
                Estimate::new(value, deviation),
            );
        }
    }

    /// Sets the profiles of attempts that were found on the worker or are being stopped. Their paces
    /// are due: an earlier companion process may have set other ones.
    fn set_profiles(&mut self, orders: &Orders, now: Time) {
        let mut paced: SmallVec<[AttemptKey; 8]> = SmallVec::new();
        for (found, profile) in &orders.profiles {
            let key = (found.task, found.attempt);
            let Some(state) = self.runs.get_mut(&key) else {
                continue;
            };
            let is_first = state.profile.replace(*profile).is_none();
            if is_first && state.is_paced() {
                paced.push(key);
            }
        }
        if !paced.is_empty() {
            self.pace_found(&paced, now);
        }
    }
}
