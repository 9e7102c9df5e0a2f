//! Estimates of the slowdown of services by kinds of batch tasks.

mod changes;
mod effects;
mod learning;

use std::collections::HashMap;

use foldhash::fast::RandomState;
use smallvec::SmallVec;
use toucanquay_model::{
    Time,
    exchange::{ServiceUsage, TaskUsage},
    task, worker,
};

use changes::{evict, release, throttle};
use effects::{predicted_slowdown, worst_service};
use learning::learn;

use super::{
    Advice, Settings,
    profile::{HIGH_LOAD, Profile},
    service_load::ServiceLoad,
    task_history::TaskHistory,
    token_bucket::TokenBucket,
    worker_state::WorkerState,
};

/// Share of the placement limit up to which a task's slowdown is ignored. Tasks that hardly
/// interfere must not wait for tasks that do.
const NEGLIGIBLE_SHARE: f64 = 0.1;

/// Online estimate of the slowdown of each service by each kind of batch task.
///
/// The caller reports the start and the end of every attempt and passes on usage reports. Advice is
/// a change that the caller should order; [`share`](Self::share) returns the share in force.
///
/// # Examples
///
/// ```
/// use toucanquay_model::{Time, task, worker};
/// use toucanquay_policy::interfere::{InterferenceModel, Settings};
///
/// let worker = worker::Id::from("w1");
/// let task = task::Id::new("plans".into(), 0);
/// let mut model = InterferenceModel::new(Settings::default());
/// model.start(&worker, &task, "plan", Time::ZERO);
/// assert_eq!(model.share(&worker, &task), Some(100));
/// assert!(model.advise(&worker, Time::ZERO).is_empty());
/// ```
#[derive(Debug)]
pub struct InterferenceModel {
    settings: Settings,
    services: Vec<Profile>,
    service_index: HashMap<String, usize, RandomState>,
    kind_index: HashMap<String, usize, RandomState>,
    /// Mean processor usage of one task of each kind, in thousandths of a processor.
    mean_usage_milli: Vec<f64>,
    workers: HashMap<worker::Id, WorkerState, RandomState>,
    evictions: TokenBucket,
}

impl InterferenceModel {
    /// Creates a model without observations.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            services: Vec::new(),
            service_index: HashMap::default(),
            kind_index: HashMap::default(),
            mean_usage_milli: Vec::new(),
            workers: HashMap::default(),
            evictions: TokenBucket::new(settings.eviction_burst, settings.eviction_interval_micros),
        }
    }

    /// Sets the number of requests that each upstream of a service handles concurrently.
    pub fn set_slots(&mut self, service: &str, slots: u32) {
        let service = self.service(service);
        self.services[service].set_slots(slots);
    }

    /// Records that a task has started on a worker.
    pub fn start(&mut self, worker: &worker::Id, task: &task::Id, kind: &str, now: Time) {
        let kind = self.kind(kind);
        let history = TaskHistory::new(kind, now, self.settings.hold_micros);
        let state = worker_state(&mut self.workers, worker);
        state.running_tasks.entry(task.clone()).or_insert(history);
    }

    /// Records that a task no longer runs on a worker.
    pub fn stop(&mut self, worker: &worker::Id, task: &task::Id, now: Time) {
        let horizon = self.horizon(now);
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        if let Some(mut history) = state.running_tasks.remove(task) {
            history.ended_at = Some(now);
            state.ended_tasks.push(history);
        }
        state
            .ended_tasks
            .retain(|history| history.ended_at.is_none_or(|ended_at| ended_at >= horizon));
    }

    /// Removes a worker.
    pub fn remove_worker(&mut self, worker: &worker::Id) {
        self.workers.remove(worker);
    }

    /// Learns from a task's window. The task windows of a report must be passed before its service
    /// windows, which are matched to them.
    pub fn observe_task(&mut self, worker: &worker::Id, usage: &TaskUsage, sent: Time) {
        /// Smoothing factor of the mean usage of a kind.
        const USAGE_WEIGHT: f64 = 0.05;
        let (from, to) = window(sent, usage.age_micros, usage.window_micros);
        let horizon = self.horizon(sent);
        let state = self.workers.get_mut(worker);
        let Some(history) = state.and_then(|state| state.running_tasks.get_mut(&usage.task)) else {
            return;
        };
        history.record(from, to, usage.processors_milli, horizon);
        // A window in which the task was throttled or ran only partly is not representative of the
        // usage of its kind.
        if history.mean_share(from, to) > 0.99 {
            let milli = f64::from(usage.processors_milli);
            let mean = &mut self.mean_usage_milli[history.kind];
            let weight = if *mean == 0.0 { 1.0 } else { USAGE_WEIGHT };
            *mean += weight * (milli - *mean);
        }
    }

    /// Learns from a service's window, matched to the tasks that ran in that window.
    ///
    /// `sent` is the time at which the report was sent or, since hosts have no common clock, the
    /// time at which it arrived.
    pub fn observe_service(&mut self, worker: &worker::Id, usage: &ServiceUsage, sent: Time) {
        let (from, to) = window(sent, usage.age_micros, usage.window_micros);
        let is_stale = usage.age_micros > self.settings.lag_max_micros;
        if is_stale || usage.requests < self.settings.requests_min {
            return;
        }
        let service = self.service(&usage.service);
        let profile = &mut self.services[service];
        let load_class = profile.load_class(usage);
        let state = worker_state(&mut self.workers, worker);
        state.record_load(service, load_class == HIGH_LOAD, to);
        state.last_window_start = state.last_window_start.max(from);
        learn(
            profile,
            state,
            &self.mean_usage_milli,
            usage,
            load_class,
            (from, to),
        );
    }

    /// Returns the estimated slowdown of a service by one task of a kind at high load, as the
    /// natural logarithm of the latency factor.
    #[must_use]
    pub fn slowdown(&self, service: &str, kind: &str) -> f64 {
        let service = self.service_index.get(service);
        let profile = service.map(|service| &self.services[*service]);
        let kind = self.kind_index.get(kind).copied().unwrap_or(usize::MAX);
        profile.map_or(0.0, |profile| {
            profile.kind_effect(kind).mean.max(0.0) * profile.load_multiplier(HIGH_LOAD)
        })
    }

    /// Returns by how much one more task of a kind would increase the latency factors of the
    /// services on a worker, given the tasks that run there. Zero means no increase.
    #[must_use]
    pub fn penalty(&self, worker: &worker::Id, kind: &str) -> f64 {
        let Some(state) = self.workers.get(worker) else {
            return 0.0;
        };
        let kind = self.kind_index.get(kind).copied().unwrap_or(usize::MAX);
        let increase = |load: &ServiceLoad| {
            let profile = &self.services[load.service];
            let multiplier = profile.load_multiplier(HIGH_LOAD);
            let added_slowdown = profile.kind_effect(kind).mean.max(0.0) * multiplier;
            let present_slowdown: f64 = state
                .running_tasks
                .values()
                .map(|history| profile.kind_effect(history.kind).mean.max(0.0) * multiplier)
                .sum();
            (present_slowdown + added_slowdown).exp() - present_slowdown.exp()
        };
        state.services.iter().map(increase).sum()
    }

    /// Returns the cost of placing a task of a kind on a worker, or `None` if it would slow down a
    /// service so much that tasks would have to be throttled.
    ///
    /// Refusing the placement leaves the resources to other kinds, whereas a task that is placed
    /// and then throttled keeps them.
    #[must_use]
    pub fn placement_cost(&self, worker: &worker::Id, kind: &str, now: Time) -> Option<f64> {
        let Some(state) = self.workers.get(worker) else {
            return Some(0.0);
        };
        let kind_index = self.kind_index.get(kind).copied().unwrap_or(usize::MAX);
        let exceeds_limit = |load: &ServiceLoad| {
            let profile = &self.services[load.service];
            let load_class = load.load_class(&self.settings, now);
            let added_slowdown =
                profile.kind_effect(kind_index).lower_bound() * profile.load_multiplier(load_class);
            let present_slowdown = predicted_slowdown(profile, state, load_class);
            let limit = self.settings.scaled(load_class).place_below;
            added_slowdown > NEGLIGIBLE_SHARE * limit && present_slowdown + added_slowdown > limit
        };
        if state.services.iter().any(exceeds_limit) {
            return None;
        }
        Some(self.penalty(worker, kind))
    }

    /// Returns the processor share of a running task in percent.
    #[must_use]
    pub fn share(&self, worker: &worker::Id, task: &task::Id) -> Option<u8> {
        let history = self.workers.get(worker)?.running_tasks.get(task)?;
        Some(history.share_percent())
    }

    /// Returns the changes to order on a worker now. The model assumes that they are carried out.
    ///
    /// The decision is based on the predicted effect of the running tasks, not on the last
    /// measurement. A report about the time before a change therefore cannot cause a second change.
    pub fn advise(&mut self, worker: &worker::Id, now: Time) -> SmallVec<[Advice; 2]> {
        let mut advice = SmallVec::new();
        let horizon = self.horizon(now);
        let settings = self.settings;
        let Some(state) = self.workers.get_mut(worker) else {
            return advice;
        };
        let Some((service, load_class)) = worst_service(&self.services, state, &settings, now)
        else {
            return advice;
        };
        let profile = &self.services[service];
        let settings = settings.scaled(load_class);
        let slowdown = predicted_slowdown(profile, state, load_class);
        if slowdown > settings.throttle_above {
            advice.extend(throttle(
                profile, state, load_class, slowdown, &settings, now, horizon,
            ));
        } else if slowdown < settings.release_below {
            advice.extend(release(
                profile, state, load_class, slowdown, &settings, now, horizon,
            ));
        }
        if advice.is_empty() && slowdown > settings.evict_above {
            advice.extend(evict(profile, state, load_class, &mut self.evictions, now));
        }
        advice
    }

    /// Returns the time before which history is discarded.
    fn horizon(&self, now: Time) -> Time {
        Time::from_micros(
            now.as_micros()
                .saturating_sub(2 * self.settings.lag_max_micros),
        )
    }

    /// Returns the index of a service, adding it if it is new.
    fn service(&mut self, name: &str) -> usize {
        if let Some(index) = self.service_index.get(name) {
            return *index;
        }
        self.services.push(Profile::new(self.settings.slots));
        self.service_index
            .insert(name.to_owned(), self.services.len() - 1);
        self.services.len() - 1
    }

    /// Returns the index of a kind, adding it if it is new.
    fn kind(&mut self, name: &str) -> usize {
        if let Some(index) = self.kind_index.get(name) {
            return *index;
        }
        let index = self.kind_index.len();
        self.kind_index.insert(name.to_owned(), index);
        self.mean_usage_milli.push(0.0);
        index
    }
}

/// Returns the bounds of a window on the clock of `sent`.
const fn window(sent: Time, age_micros: u64, window_micros: u64) -> (Time, Time) {
    let to = sent.as_micros().saturating_sub(age_micros);
    let from = to.saturating_sub(window_micros);
    (Time::from_micros(from), Time::from_micros(to))
}

/// Returns the state of a worker, adding it if it is new.
fn worker_state<'a>(
    workers: &'a mut HashMap<worker::Id, WorkerState, RandomState>,
    worker: &worker::Id,
) -> &'a mut WorkerState {
    if !workers.contains_key(worker) {
        workers.insert(worker.clone(), WorkerState::default());
    }
    workers
        .get_mut(worker)
        .expect("the worker was inserted above")
}
