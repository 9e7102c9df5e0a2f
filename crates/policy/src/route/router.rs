//! Selection among the upstreams of one service.

use std::collections::BTreeSet;

use slotmap::SlotMap;
use toucanquay_model::Time;

use super::{Key, Outcome, State, Upstream, Zone, random, ready_set::ReadySet, snapshot::Snapshot};
use crate::eject::Phase;

/// One-way network latency between two zones, in microseconds.
const CROSS_ZONE_MICROS: f64 = 500.0;

/// Smoothing factor of the moving average of latency over all upstreams.
const LATENCY_WEIGHT: f64 = 0.02;

/// Tracks the upstreams of one service and selects among them.
///
/// Upstreams with free capacity are kept in the ready set of their zone, so that a selection takes
/// constant time regardless of the number of upstreams.
///
/// # Examples
///
/// ```
/// use toucanquay_model::Time;
/// use toucanquay_policy::route::{Router, State};
///
/// let mut router = Router::new();
/// let zone = router.zone("a");
/// let key = router.insert(zone, 8, Time::ZERO);
/// assert_eq!(router.pick(zone, &[], Time::ZERO, 7), Some(key));
/// router.set_state(key, State::Draining, Time::ZERO);
/// assert_eq!(router.pick(zone, &[], Time::ZERO, 7), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Router {
    upstreams: SlotMap<Key, Upstream>,
    zones: Vec<String>,
    ready_by_zone: Vec<ReadySet>,
    wakeups: BTreeSet<(Time, Key)>,
    up_count: usize,
    latency_micros: f64,
}

impl Router {
    /// Creates a router without upstreams.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the zone called `name`, registering it if it is new.
    pub fn zone(&mut self, name: &str) -> Zone {
        let known = self.zones.iter().position(|zone| zone == name);
        let index = known.unwrap_or_else(|| {
            self.zones.push(name.to_owned());
            self.ready_by_zone.push(ReadySet::default());
            self.zones.len() - 1
        });
        Zone(index as u16)
    }

    /// Returns the number of upstreams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns whether there are no upstreams.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Returns whether any upstream has free capacity.
    #[must_use]
    pub fn has_ready(&self) -> bool {
        self.ready_by_zone.iter().any(|ready| ready.len() > 0)
    }

    /// Returns whether any upstream is up, including those that are currently ejected.
    #[must_use]
    pub const fn has_up(&self) -> bool {
        self.up_count > 0
    }

    /// Returns an upstream.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// Returns all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Upstream)> {
        self.upstreams.iter()
    }

    /// Adds an upstream with `slots` slots in `zone`, which goes through slow start.
    pub fn insert(&mut self, zone: Zone, slots: u32, now: Time) -> Key {
        self.insert_upstream(Upstream::new(zone, slots, now), now)
    }

    /// Adds an upstream without slow start. Used for upstreams that were already serving, for
    /// example when the entry itself has just started.
    pub fn insert_warm(&mut self, zone: Zone, slots: u32, now: Time) -> Key {
        let mut upstream = Upstream::new(zone, slots, now);
        upstream.skip_slow_start();
        self.insert_upstream(upstream, now)
    }

    /// Removes an upstream. Its requests in flight may still finish.
    pub fn remove(&mut self, key: Key) -> Option<Upstream> {
        self.remove_from_ready(key);
        let upstream = self.upstreams.remove(key)?;
        self.up_count -= usize::from(upstream.state == State::Up);
        if let Some(at) = upstream.wakeup_at {
            self.wakeups.remove(&(at, key));
        }
        Some(upstream)
    }

    /// Changes the number of slots of an upstream.
    pub fn resize(&mut self, key: Key, slots: u32, now: Time) {
        self.update(key, now, |upstream| upstream.limit.resize(slots));
    }

    /// Changes the state of an upstream. One that becomes healthy again goes through slow start.
    pub fn set_state(&mut self, key: Key, state: State, now: Time) {
        self.update(key, now, |upstream| {
            if upstream.state == State::Unhealthy && state == State::Up {
                upstream.restart_slow_start(now);
            }
            upstream.state = state;
        });
    }

    /// Changes the ejection phase of an upstream. One that returns to service goes through slow
    /// start.
    pub fn set_phase(&mut self, key: Key, phase: Phase, now: Time) {
        self.update(key, now, |upstream| {
            if upstream.phase != Phase::InService && phase == Phase::InService {
                upstream.restart_slow_start(now);
            }
            upstream.phase = phase;
        });
    }

    /// Records the number of requests in flight that the companion reported, over all entries.
    pub fn record_report(&mut self, key: Key, in_flight: u32, now: Time) {
        self.update(key, now, |upstream| {
            upstream.limit.record_report(in_flight, upstream.in_flight);
        });
    }

    /// Picks an upstream with free capacity for a request that arrived in `local_zone`.
    ///
    /// Of two random upstreams of the zone, the one with the lower cost (load times latency) is
    /// picked. An upstream of another zone is picked when the local zone is full, or when the
    /// expected queueing delay there is shorter by more than the network round trip.
    #[must_use]
    pub fn pick(&self, local_zone: Zone, excluded: &[Key], now: Time, random: u64) -> Option<Key> {
        let remote = || self.pick_remote(local_zone, excluded, now, random::next(random));
        let Some(local) = self.pick_local(local_zone, excluded, now, random) else {
            return remote().map(|remote| remote.key);
        };
        if local.queueing_micros <= 2.0 * CROSS_ZONE_MICROS {
            return Some(local.key);
        }
        let gain = |remote: &Snapshot| local.queueing_micros - remote.queueing_micros;
        let better = remote().filter(|remote| gain(remote) > 2.0 * CROSS_ZONE_MICROS);
        Some(better.unwrap_or(local).key)
    }

    /// Records that a request was sent to an upstream.
    pub fn start(&mut self, key: Key, now: Time) {
        self.update(key, now, |upstream| upstream.in_flight += 1);
    }

    /// Records the end of a request that arrived in `local_zone` and took `latency_micros`.
    pub fn finish(
        &mut self,
        key: Key,
        local_zone: Zone,
        outcome: Outcome,
        latency_micros: u64,
        now: Time,
    ) {
        let mut recorded_micros = None;
        self.update(key, now, |upstream| {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
            match outcome {
                Outcome::Succeeded => {
                    let round_trip_micros = if upstream.zone == local_zone {
                        0.0
                    } else {
                        2.0 * CROSS_ZONE_MICROS
                    };
                    let micros = (latency_micros as f64 - round_trip_micros).max(1.0);
                    upstream.record_latency(micros, now);
                    upstream.limit.record_response(micros);
                    recorded_micros = Some(micros);
                }
                Outcome::Refused => upstream.limit.record_refusal(upstream.in_flight, now),
                Outcome::Draining => upstream.state = State::Draining,
                Outcome::Failed | Outcome::Unreachable | Outcome::Cancelled => {}
            }
        });
        if let Some(micros) = recorded_micros {
            if self.latency_micros == 0.0 {
                self.latency_micros = micros;
            }
            self.latency_micros += LATENCY_WEIGHT * (micros - self.latency_micros);
        }
    }

    /// Refreshes upstreams whose free capacity has grown with time.
    pub fn tick(&mut self, now: Time) {
        while let Some(&(at, key)) = self.wakeups.first() {
            if at > now {
                return;
            }
            self.refresh(key, now);
        }
    }

    /// Returns the next time at which [`Router::tick`] has work to do.
    #[must_use]
    pub fn next_tick(&self) -> Option<Time> {
        self.wakeups.first().map(|&(at, _)| at)
    }

    fn insert_upstream(&mut self, upstream: Upstream, now: Time) -> Key {
        let key = self.upstreams.insert(upstream);
        self.up_count += 1;
        self.refresh(key, now);
        key
    }

    fn pick_local(
        &self,
        local_zone: Zone,
        excluded: &[Key],
        now: Time,
        random: u64,
    ) -> Option<&Snapshot> {
        let ready = self.ready_by_zone.get(local_zone.index())?;
        if ready.len() == 0 {
            return None;
        }
        let (first, second) = random::distinct_pair(ready.len(), random);
        self.pick_cheaper(ready.get(first), ready.get(second), excluded, now)
            .or_else(|| self.first_allowed(ready, excluded))
    }

    /// Picks among the ready upstreams of all other zones with equal probability.
    fn pick_remote(
        &self,
        local_zone: Zone,
        excluded: &[Key],
        now: Time,
        random: u64,
    ) -> Option<&Snapshot> {
        let remote_sets = || {
            self.ready_by_zone
                .iter()
                .enumerate()
                .filter(|&(index, _)| index != local_zone.index())
                .map(|(_, ready)| ready)
        };
        let total = remote_sets().map(ReadySet::len).sum();
        if total == 0 {
            return None;
        }
        let snapshot_at = |mut index: usize| {
            remote_sets().find_map(|ready| {
                let found = ready.get(index);
                index = index.wrapping_sub(ready.len());
                found
            })
        };
        let (first, second) = random::distinct_pair(total, random);
        self.pick_cheaper(snapshot_at(first), snapshot_at(second), excluded, now)
            .or_else(|| remote_sets().find_map(|ready| self.first_allowed(ready, excluded)))
    }

    /// Returns the first ready upstream that is not excluded. The search is short because few
    /// upstreams are excluded.
    fn first_allowed<'a>(&self, ready: &'a ReadySet, excluded: &[Key]) -> Option<&'a Snapshot> {
        ready.iter().find(|one| !excluded.contains(&one.key))
    }

    fn pick_cheaper<'a>(
        &self,
        first: Option<&'a Snapshot>,
        second: Option<&'a Snapshot>,
        excluded: &[Key],
        now: Time,
    ) -> Option<&'a Snapshot> {
        let allowed = |one: &&Snapshot| !excluded.contains(&one.key);
        let (first, second) = (first.filter(allowed), second.filter(allowed));
        let (Some(one), Some(other)) = (first, second) else {
            return first.or(second);
        };
        let mean_latency_micros = self.latency_micros.max(1.0);
        let is_first = one.cost(now, mean_latency_micros) <= other.cost(now, mean_latency_micros);
        Some(if is_first { one } else { other })
    }

    fn update(&mut self, key: Key, now: Time, apply: impl FnOnce(&mut Upstream)) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            self.up_count -= usize::from(upstream.state == State::Up);
            apply(upstream);
            self.up_count += usize::from(upstream.state == State::Up);
            self.refresh(key, now);
        }
    }

    /// Updates the ready set for an upstream and schedules its next refresh.
    fn refresh(&mut self, key: Key, now: Time) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let is_available = upstream.available(now) > 0;
        let wakeup_at = upstream.next_change(now);
        let old_wakeup_at = std::mem::replace(&mut upstream.wakeup_at, wakeup_at);
        if old_wakeup_at != wakeup_at {
            old_wakeup_at.map(|at| self.wakeups.remove(&(at, key)));
            wakeup_at.map(|at| self.wakeups.insert((at, key)));
        }
        let ready = &mut self.ready_by_zone[upstream.zone.index()];
        match (is_available, upstream.ready_index) {
            (true, None) => upstream.ready_index = Some(ready.push(upstream.snapshot(key, now))),
            (true, Some(position)) => ready.replace(position, upstream.snapshot(key, now)),
            (false, Some(_)) => self.remove_from_ready(key),
            (false, None) => {}
        }
    }

    fn remove_from_ready(&mut self, key: Key) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let Some(position) = upstream.ready_index.take() else {
            return;
        };
        let moved = self.ready_by_zone[upstream.zone.index()].remove(position);
        if let Some(moved) = moved.and_then(|moved| self.upstreams.get_mut(moved)) {
            moved.ready_index = Some(position);
        }
    }
}
