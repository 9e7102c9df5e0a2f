//! Slow-downs by service and kind.

use std::collections::HashMap;

use foldhash::fast::RandomState;
use smallvec::SmallVec;
use toucanquay_model::{
    Time,
    exchange::{ServiceUsage, TaskUsage},
    task, worker,
};

use super::{
    Advice, Settings,
    budget::Budget,
    demand::Demand,
    host::Host,
    profile::{HIGH, Profile},
    track::Track,
};

/// Variance of a window's latency that no task explains.
const NOISE: f64 = 0.05;

/// Variance that is added by a window of a single request; it shrinks with the number of requests.
const NOISE_ONE_REQUEST: f64 = 2.0;

/// Variance that each window adds to a coefficient, so that it can follow a change.
const DRIFT: f64 = 1e-5;

/// Share of the placement limit up to which a task is placed although the limit is exceeded. Work
/// that hardly interferes must not wait for tasks that do.
const NEGLIGIBLE_SHARE: f64 = 0.1;

/// Slow-down of each service by each kind of batch work, with the tasks of each worker.
///
/// The caller reports the start and the end of every attempt and passes on usage reports. Advice
/// is a change that the caller should order; [`share`](Self::share) tells what is in force.
///
/// # Examples
///
/// ```
/// use toucanquay_model::{Time, task, worker};
/// use toucanquay_policy::interfere::{Matrix, Settings};
///
/// let worker = worker::Id::from("w1");
/// let task = task::Id::new("plans".into(), 0);
/// let mut matrix = Matrix::new(Settings::default());
/// matrix.start(&worker, &task, "plan", Time::ZERO);
/// assert_eq!(matrix.share(&worker, &task), Some(100));
/// assert!(matrix.advise(&worker, Time::ZERO).is_empty());
/// ```
#[derive(Debug)]
pub struct Matrix {
    settings: Settings,
    services: Vec<Profile>,
    service_index: HashMap<String, usize, RandomState>,
    kind_index: HashMap<String, usize, RandomState>,
    /// Mean use of processors by one task of each kind, in thousandths.
    typical_milli: Vec<f64>,
    hosts: HashMap<worker::Id, Host, RandomState>,
    evictions: Budget,
}

impl Matrix {
    /// Returns a model that has learned nothing.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            services: Vec::new(),
            service_index: HashMap::default(),
            kind_index: HashMap::default(),
            typical_milli: Vec::new(),
            hosts: HashMap::default(),
            evictions: Budget::new(settings.evictions_burst, settings.eviction_micros),
        }
    }

    /// Sets the requests that a service's upstreams handle at once.
    pub fn set_slots(&mut self, service: &str, slots: u32) {
        let service = self.service(service);
        self.services[service].set_slots(slots);
    }

    /// Records that a task runs on a worker.
    pub fn start(&mut self, worker: &worker::Id, task: &task::Id, kind: &str, now: Time) {
        let kind = self.kind(kind);
        let track = Track::new(kind, now, self.settings.hold_micros);
        let host = host(&mut self.hosts, worker);
        host.tracks.entry(task.clone()).or_insert(track);
    }

    /// Records that a task no longer runs on a worker.
    pub fn stop(&mut self, worker: &worker::Id, task: &task::Id, now: Time) {
        let horizon = self.horizon(now);
        let Some(host) = self.hosts.get_mut(worker) else {
            return;
        };
        if let Some(mut track) = host.tracks.remove(task) {
            track.ended = Some(now);
            host.past.push(track);
        }
        host.past
            .retain(|track| track.ended.is_none_or(|ended| ended >= horizon));
    }

    /// Forgets a worker.
    pub fn leave(&mut self, worker: &worker::Id) {
        self.hosts.remove(worker);
    }

    /// Learns from a task's window. Pass on a report's task windows before its service windows,
    /// which are matched to them.
    pub fn observe_task(&mut self, worker: &worker::Id, usage: &TaskUsage, sent: Time) {
        /// Part of the distance to the newest window by which the mean of a kind moves.
        const STEP: f64 = 0.05;
        let (from, to) = window(sent, usage.age_micros, usage.window_micros);
        let horizon = self.horizon(sent);
        let host = self.hosts.get_mut(worker);
        let Some(track) = host.and_then(|host| host.tracks.get_mut(&usage.task)) else {
            return;
        };
        track.record(from, to, usage.processors_milli, horizon);
        // A window in which the task was throttled or did not run throughout says nothing about
        // the usual use of its kind.
        if track.intensity(from, to) > 0.99 {
            let milli = f64::from(usage.processors_milli);
            let typical = &mut self.typical_milli[track.kind];
            let step = if *typical == 0.0 { 1.0 } else { STEP };
            *typical += step * (milli - *typical);
        }
    }

    /// Learns from a service's window, matched to the tasks that ran in that window.
    ///
    /// `sent` is when the report was sent or, since hosts have no common clock, when it arrived.
    pub fn observe(&mut self, worker: &worker::Id, usage: &ServiceUsage, sent: Time) {
        let (from, to) = window(sent, usage.age_micros, usage.window_micros);
        let is_stale = usage.age_micros > self.settings.lag_max_micros;
        if is_stale || usage.requests < self.settings.requests_min {
            return;
        }
        let service = self.service(&usage.service);
        let profile = &mut self.services[service];
        let class = profile.class(usage);
        let host = host(&mut self.hosts, worker);
        host.notice(service, class == HIGH, to);
        host.learned = host.learned.max(from);
        learn(profile, host, &self.typical_milli, usage, class, (from, to));
    }

    /// Returns the learned slow-down of a service by one task of a kind at high load, as a natural
    /// logarithm of the factor on latency.
    #[must_use]
    pub fn slowdown(&self, service: &str, kind: &str) -> f64 {
        let service = self.service_index.get(service);
        let profile = service.map(|service| &self.services[*service]);
        let kind = self.kind_index.get(kind).copied().unwrap_or(usize::MAX);
        profile.map_or(0.0, |profile| {
            profile.pair(kind).mean.max(0.0) * profile.factor(HIGH)
        })
    }

    /// Returns how much one more task of a kind would slow down the services on a worker, given
    /// the tasks that run there. Zero means not at all.
    #[must_use]
    pub fn penalty(&self, worker: &worker::Id, kind: &str) -> f64 {
        let Some(host) = self.hosts.get(worker) else {
            return 0.0;
        };
        let kind = self.kind_index.get(kind).copied().unwrap_or(usize::MAX);
        let increase = |demand: &Demand| {
            let profile = &self.services[demand.service];
            let factor = profile.factor(HIGH);
            let added = profile.pair(kind).mean.max(0.0) * factor;
            let present: f64 = host
                .tracks
                .values()
                .map(|track| profile.pair(track.kind).mean.max(0.0) * factor)
                .sum();
            (present + added).exp() - present.exp()
        };
        host.services.iter().map(increase).sum()
    }

    /// Returns the price of starting a task of a kind on a worker, or `None` when that would slow a
    /// service down so much that tasks would have to be throttled.
    ///
    /// Other kinds can use the room, whereas a task that starts and is throttled holds it.
    #[must_use]
    pub fn price(&self, worker: &worker::Id, kind: &str, now: Time) -> Option<f64> {
        let Some(host) = self.hosts.get(worker) else {
            return Some(0.0);
        };
        let kind_index = self.kind_index.get(kind).copied().unwrap_or(usize::MAX);
        let is_over = |demand: &Demand| {
            let profile = &self.services[demand.service];
            let class = demand.class(&self.settings, now);
            let added = profile.pair(kind_index).cautious() * profile.factor(class);
            let present = predicted(profile, host, class);
            let limit = self.settings.scaled(class).place_below;
            added > NEGLIGIBLE_SHARE * limit && present + added > limit
        };
        if host.services.iter().any(is_over) {
            return None;
        }
        Some(self.penalty(worker, kind))
    }

    /// Returns the share of a running task in percent.
    #[must_use]
    pub fn share(&self, worker: &worker::Id, task: &task::Id) -> Option<u8> {
        let track = self.hosts.get(worker)?.tracks.get(task)?;
        Some(track.share_percent())
    }

    /// Returns the changes to order on a worker now, and assumes that they are carried out.
    ///
    /// The decision rests on the predicted effect of what runs now, not on the last measurement,
    /// so a report that describes the time before a change cannot cause a second change.
    pub fn advise(&mut self, worker: &worker::Id, now: Time) -> SmallVec<[Advice; 2]> {
        let mut advice = SmallVec::new();
        let horizon = self.horizon(now);
        let settings = self.settings;
        let Some(host) = self.hosts.get_mut(worker) else {
            return advice;
        };
        let Some((service, class)) = worst_service(&self.services, host, &settings, now) else {
            return advice;
        };
        let profile = &self.services[service];
        let settings = settings.scaled(class);
        let slowdown = predicted(profile, host, class);
        if slowdown > settings.throttle_above {
            advice.extend(throttle(
                profile, host, class, slowdown, &settings, now, horizon,
            ));
        } else if slowdown < settings.release_below {
            advice.extend(release(
                profile, host, class, slowdown, &settings, now, horizon,
            ));
        }
        if advice.is_empty() && slowdown > settings.evict_above {
            advice.extend(evict(profile, host, class, &mut self.evictions, now));
        }
        advice
    }

    fn horizon(&self, now: Time) -> Time {
        Time::from_micros(
            now.as_micros()
                .saturating_sub(2 * self.settings.lag_max_micros),
        )
    }

    fn service(&mut self, name: &str) -> usize {
        if let Some(index) = self.service_index.get(name) {
            return *index;
        }
        self.services.push(Profile::new(self.settings.slots));
        self.service_index
            .insert(name.to_owned(), self.services.len() - 1);
        self.services.len() - 1
    }

    fn kind(&mut self, name: &str) -> usize {
        if let Some(index) = self.kind_index.get(name) {
            return *index;
        }
        let index = self.kind_index.len();
        self.kind_index.insert(name.to_owned(), index);
        self.typical_milli.push(0.0);
        index
    }
}

/// Returns the bounds of a window on the clock of `sent`.
const fn window(sent: Time, age_micros: u64, window_micros: u64) -> (Time, Time) {
    let to = sent.as_micros().saturating_sub(age_micros);
    let from = to.saturating_sub(window_micros);
    (Time::from_micros(from), Time::from_micros(to))
}

fn host<'a>(
    hosts: &'a mut HashMap<worker::Id, Host, RandomState>,
    worker: &worker::Id,
) -> &'a mut Host {
    if !hosts.contains_key(worker) {
        hosts.insert(worker.clone(), Host::default());
    }
    hosts.get_mut(worker).expect("the host was inserted above")
}

/// Updates all coefficients that contributed to a window, each by its share of the uncertainty.
fn learn(
    profile: &mut Profile,
    host: &mut Host,
    typical_milli: &[f64],
    usage: &ServiceUsage,
    class: usize,
    (from, to): (Time, Time),
) {
    let measured = f64::midpoint(
        f64::from(usage.p50_micros.max(1)).ln(),
        f64::from(usage.p99_micros.max(1)).ln(),
    );
    let noise = NOISE + NOISE_ONE_REQUEST / f64::from(usage.requests);
    let factor = profile.factor(class);
    let base = *profile.base(usage);
    let mut total = noise + base.spread(1.0);
    let mut slowdown = 0.0;
    let mut kinds: SmallVec<[(usize, f64); 16]> = SmallVec::new();
    for track in host.tracks() {
        let input = track.input(from, to, typical_milli[track.kind]);
        if input > 0.0 {
            slowdown += track.own.mean * input;
            total += track.own.spread(factor * input);
            match kinds.iter_mut().find(|(kind, _)| *kind == track.kind) {
                Some((_, sum)) => *sum += input,
                None => kinds.push((track.kind, input)),
            }
        }
    }
    for (kind, input) in &kinds {
        let pair = profile.pair(*kind);
        slowdown += pair.mean * input;
        total += pair.spread(factor * input);
    }
    let error = measured - base.mean - factor * slowdown;
    profile.base(usage).update(1.0, error, total, DRIFT);
    for (kind, input) in &kinds {
        let pair = profile.pair_mut(*kind);
        pair.update(factor * input, error, total, DRIFT);
        // Batch work never speeds a service up. Without the bound, kinds that alternate take each
        // other's effect with opposite signs.
        pair.mean = pair.mean.max(0.0);
    }
    for track in host.tracks_mut() {
        let input = track.input(from, to, typical_milli[track.kind]);
        if input > 0.0 {
            track.own.update(factor * input, error, total, DRIFT);
        }
    }
    if class == HIGH {
        profile.high_mut().update(slowdown, error, total, DRIFT);
    }
}

/// Returns the slow-down by one task at its full share that is probably exceeded.
fn effect(profile: &Profile, track: &Track, class: usize) -> f64 {
    let pair = profile.pair(track.kind);
    (pair.cautious() + track.own.mean).max(0.0) * profile.factor(class)
}

fn predicted(profile: &Profile, host: &Host, class: usize) -> f64 {
    host.tracks
        .values()
        .filter(|track| !track.is_evicting)
        .map(|track| effect(profile, track, class) * f64::from(track.share_percent()) / 100.0)
        .sum()
}

/// Returns the service on a worker that is predicted to be slowed down most, with its load class.
fn worst_service(
    services: &[Profile],
    host: &Host,
    settings: &Settings,
    now: Time,
) -> Option<(usize, usize)> {
    host.services
        .iter()
        .map(|demand| (demand.service, demand.class(settings, now)))
        .max_by(|a, b| {
            let slowdown =
                |(service, class): &(usize, usize)| predicted(&services[*service], host, *class);
            slowdown(a).total_cmp(&slowdown(b))
        })
}

/// Lowers the share of the task with the largest effect until the prediction is low enough or the
/// lowest share is reached.
fn throttle(
    profile: &Profile,
    host: &mut Host,
    class: usize,
    slowdown: f64,
    settings: &Settings,
    now: Time,
    horizon: Time,
) -> Option<Advice> {
    let (task, track) = host
        .tracks
        .iter_mut()
        .filter(|(_, track)| track.share_percent() > settings.share_min_percent)
        .filter(|(_, track)| !track.is_evicting)
        .max_by(|a, b| {
            let gain =
                |track: &Track| effect(profile, track, class) * f64::from(track.share_percent());
            gain(a.1).total_cmp(&gain(b.1)).then_with(|| b.0.cmp(a.0))
        })?;
    let effect = effect(profile, track, class);
    if effect <= 0.0 {
        return None;
    }
    let excess = slowdown - f64::midpoint(settings.throttle_above, settings.release_below);
    let wanted = f64::from(track.share_percent()) - 100.0 * excess / effect;
    let step = f64::from(settings.share_step_percent);
    let share = (wanted / step).floor() * step;
    let share = share.max(f64::from(settings.share_min_percent)) as u8;
    let is_repeated = track.hold_until != Time::ZERO;
    if is_repeated {
        track.hold_micros = (track.hold_micros * 2).min(settings.hold_max_micros);
    }
    track.hold_until = now.plus_micros(track.hold_micros);
    track.set_share(share, now, horizon);
    let task = task.clone();
    host.changed = now;
    Some(Advice::Throttle {
        task,
        share_percent: share,
    })
}

/// Raises the share of the throttled task with the smallest effect by one step, if the prediction
/// stays low enough.
fn release(
    profile: &Profile,
    host: &mut Host,
    class: usize,
    slowdown: f64,
    settings: &Settings,
    now: Time,
    horizon: Time,
) -> Option<Advice> {
    let (task, track) = host
        .tracks
        .iter_mut()
        .filter(|(_, track)| track.share_percent() < 100 && track.hold_until <= now)
        .min_by(|a, b| {
            let effect = |track: &Track| effect(profile, track, class);
            effect(a.1)
                .total_cmp(&effect(b.1))
                .then_with(|| a.0.cmp(b.0))
        })?;
    let share = (track.share_percent() + settings.share_step_percent).min(100);
    let raise = f64::from(share - track.share_percent()) / 100.0;
    // The gap to the throttling limit is that of a placement, so that a raise is not taken back.
    if slowdown + effect(profile, track, class) * raise > settings.place_below {
        return None;
    }
    track.hold_until = now.plus_micros(settings.hold_micros);
    track.set_share(share, now, horizon);
    let task = task.clone();
    host.changed = now;
    Some(Advice::Throttle {
        task,
        share_percent: share,
    })
}

/// Evicts the task with the largest effect, once a window after the last throttling was learned
/// from and if the budget allows it.
fn evict(
    profile: &Profile,
    host: &mut Host,
    class: usize,
    evictions: &mut Budget,
    now: Time,
) -> Option<Advice> {
    if host.learned <= host.changed {
        return None;
    }
    let (task, track) = host
        .tracks
        .iter_mut()
        .filter(|(_, track)| !track.is_evicting)
        .max_by(|a, b| {
            let effect = |track: &Track| effect(profile, track, class);
            effect(a.1)
                .total_cmp(&effect(b.1))
                .then_with(|| b.0.cmp(a.0))
        })?;
    if !evictions.take(now) {
        return None;
    }
    track.is_evicting = true;
    let task = task.clone();
    host.changed = now;
    Some(Advice::Evict { task })
}
