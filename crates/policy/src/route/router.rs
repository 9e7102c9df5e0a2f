//! Choice among the candidates of one service.

use std::collections::BTreeSet;

use slotmap::SlotMap;
use toucanquay_model::Time;

use super::{Candidate, Key, Outcome, State, Zone, random, ready::Ready, snapshot::Snapshot};
use crate::eject::Phase;

/// Way between two zones, one way, in microseconds.
const ZONE_MICROS: f64 = 500.0;

/// Weight of a new latency in the average of all candidates.
const LATENCY_WEIGHT: f64 = 0.02;

/// Candidates of one service, and the choice among them.
///
/// A candidate with room is in the ready set of its zone, so that a choice takes the same time
/// however many upstreams there are.
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
    candidates: SlotMap<Key, Candidate>,
    zones: Vec<String>,
    ready: Vec<Ready>,
    wakes: BTreeSet<(Time, Key)>,
    up: usize,
    latency_micros: f64,
}

impl Router {
    /// Returns a router without candidates.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the zone called `name`, and numbers it when it is new.
    pub fn zone(&mut self, name: &str) -> Zone {
        let known = self.zones.iter().position(|zone| zone == name);
        let index = known.unwrap_or_else(|| {
            self.zones.push(name.to_owned());
            self.ready.push(Ready::default());
            self.zones.len() - 1
        });
        Zone(index as u16)
    }

    /// Returns the number of candidates.
    #[must_use]
    pub fn len(&self) -> usize {
        self.candidates.len()
    }

    /// Tells whether there is no candidate.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Tells whether any candidate has room.
    #[must_use]
    pub fn has_ready(&self) -> bool {
        self.ready.iter().any(|ready| ready.len() > 0)
    }

    /// Tells whether any candidate takes new requests, now or after its ejection.
    #[must_use]
    pub const fn has_up(&self) -> bool {
        self.up > 0
    }

    /// Returns a candidate.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Candidate> {
        self.candidates.get(key)
    }

    /// Returns all candidates.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Candidate)> {
        self.candidates.iter()
    }

    /// Adds an upstream of `slots` in `zone`, which starts slowly.
    pub fn insert(&mut self, zone: Zone, slots: u32, now: Time) -> Key {
        self.add(Candidate::new(zone, slots, now), now)
    }

    /// Adds an upstream that is known to be warm, for example when the entry itself is new.
    pub fn insert_warm(&mut self, zone: Zone, slots: u32, now: Time) -> Key {
        let mut candidate = Candidate::new(zone, slots, now);
        candidate.skip_slow_start();
        self.add(candidate, now)
    }

    /// Removes an upstream. Requests in flight may still finish.
    pub fn remove(&mut self, key: Key) -> Option<Candidate> {
        self.leave_ready(key);
        let candidate = self.candidates.remove(key)?;
        self.up -= usize::from(candidate.state == State::Up);
        if let Some(at) = candidate.wake_at {
            self.wakes.remove(&(at, key));
        }
        Some(candidate)
    }

    /// Changes the slots of an upstream.
    pub fn resize(&mut self, key: Key, slots: u32, now: Time) {
        self.change(key, now, |candidate| candidate.limit.resize(slots));
    }

    /// Changes the state of an upstream. One that becomes healthy again starts slowly.
    pub fn set_state(&mut self, key: Key, state: State, now: Time) {
        self.change(key, now, |candidate| {
            if candidate.state == State::Unhealthy && state == State::Up {
                candidate.restart_slowly(now);
            }
            candidate.state = state;
        });
    }

    /// Changes the phase of an upstream's ejection. One that returns starts slowly.
    pub fn set_phase(&mut self, key: Key, phase: Phase, now: Time) {
        self.change(key, now, |candidate| {
            if candidate.phase != Phase::In && phase == Phase::In {
                candidate.restart_slowly(now);
            }
            candidate.phase = phase;
        });
    }

    /// Takes in the companion's count of requests in flight of all entries.
    pub fn report(&mut self, key: Key, in_flight: u32, now: Time) {
        self.change(key, now, |candidate| {
            candidate.limit.report(in_flight, candidate.in_flight);
        });
    }

    /// Chooses an upstream with room for a request that arrived in `home`.
    ///
    /// Of two random candidates of the zone, the one with less load is chosen, then the one with
    /// the lower latency. A candidate of another zone is chosen when this zone has no room, or when
    /// the expected queueing is shorter there by more than the way there and back.
    #[must_use]
    pub fn pick(&self, home: Zone, excluded: &[Key], now: Time, random: u64) -> Option<Key> {
        let far = || self.pick_far(home, excluded, now, random::next(random));
        let Some(near) = self.pick_near(home, excluded, now, random) else {
            return far().map(|far| far.key);
        };
        if near.queueing_micros <= 2.0 * ZONE_MICROS {
            return Some(near.key);
        }
        let gain = |far: &Snapshot| near.queueing_micros - far.queueing_micros;
        let better = far().filter(|far| gain(far) > 2.0 * ZONE_MICROS);
        Some(better.unwrap_or(near).key)
    }

    /// Counts a request as in flight.
    pub fn start(&mut self, key: Key, now: Time) {
        self.change(key, now, |candidate| candidate.in_flight += 1);
    }

    /// Counts a request that arrived in `home` as ended after `latency_micros`.
    pub fn finish(
        &mut self,
        key: Key,
        home: Zone,
        outcome: Outcome,
        latency_micros: u64,
        now: Time,
    ) {
        let mut learned = None;
        self.change(key, now, |candidate| {
            candidate.in_flight = candidate.in_flight.saturating_sub(1);
            match outcome {
                Outcome::Answered => {
                    let way = if candidate.zone == home {
                        0.0
                    } else {
                        2.0 * ZONE_MICROS
                    };
                    let micros = (latency_micros as f64 - way).max(1.0);
                    candidate.learn_latency(micros, now);
                    candidate.limit.answered(micros);
                    learned = Some(micros);
                }
                Outcome::Refused => candidate.limit.refused(candidate.in_flight, now),
                Outcome::Leaving => candidate.state = State::Draining,
                Outcome::Failed | Outcome::Unreachable | Outcome::Cancelled => {}
            }
        });
        if let Some(micros) = learned {
            if self.latency_micros == 0.0 {
                self.latency_micros = micros;
            }
            self.latency_micros += LATENCY_WEIGHT * (micros - self.latency_micros);
        }
    }

    /// Brings candidates up to date whose room grows by the passing of time.
    pub fn tick(&mut self, now: Time) {
        while let Some(&(at, key)) = self.wakes.first() {
            if at > now {
                return;
            }
            self.refresh(key, now);
        }
    }

    /// Returns the next time at which [`Router::tick`] has something to do.
    #[must_use]
    pub fn next_tick(&self) -> Option<Time> {
        self.wakes.first().map(|&(at, _)| at)
    }

    fn add(&mut self, candidate: Candidate, now: Time) -> Key {
        let key = self.candidates.insert(candidate);
        self.up += 1;
        self.refresh(key, now);
        key
    }

    fn pick_near(&self, home: Zone, excluded: &[Key], now: Time, random: u64) -> Option<&Snapshot> {
        let ready = self.ready.get(home.index())?;
        if ready.len() == 0 {
            return None;
        }
        let (first, second) = random::two(ready.len(), random);
        self.better(ready.get(first), ready.get(second), excluded, now)
            .or_else(|| self.any(ready, excluded))
    }

    /// Chooses among the ready candidates of all other zones alike.
    fn pick_far(&self, home: Zone, excluded: &[Key], now: Time, random: u64) -> Option<&Snapshot> {
        let others = || {
            self.ready
                .iter()
                .enumerate()
                .filter(|&(index, _)| index != home.index())
                .map(|(_, ready)| ready)
        };
        let total = others().map(Ready::len).sum();
        if total == 0 {
            return None;
        }
        let at = |mut index: usize| {
            others().find_map(|ready| {
                let found = ready.get(index);
                index = index.wrapping_sub(ready.len());
                found
            })
        };
        let (first, second) = random::two(total, random);
        self.better(at(first), at(second), excluded, now)
            .or_else(|| others().find_map(|ready| self.any(ready, excluded)))
    }

    /// Returns the first ready candidate that is not excluded. The list of excluded ones is short,
    /// and so is the search.
    fn any<'a>(&self, ready: &'a Ready, excluded: &[Key]) -> Option<&'a Snapshot> {
        ready.iter().find(|one| !excluded.contains(&one.key))
    }

    fn better<'a>(
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
        let usual = self.latency_micros.max(1.0);
        let is_first = one.cost(now, usual) <= other.cost(now, usual);
        Some(if is_first { one } else { other })
    }

    fn change(&mut self, key: Key, now: Time, change: impl FnOnce(&mut Candidate)) {
        if let Some(candidate) = self.candidates.get_mut(key) {
            self.up -= usize::from(candidate.state == State::Up);
            change(candidate);
            self.up += usize::from(candidate.state == State::Up);
            self.refresh(key, now);
        }
    }

    /// Brings the ready set up to date with a candidate, and schedules its next change.
    fn refresh(&mut self, key: Key, now: Time) {
        let Some(candidate) = self.candidates.get_mut(key) else {
            return;
        };
        let has_room = candidate.room(now) > 0;
        let wake_at = candidate.next_change(now);
        let woken_at = std::mem::replace(&mut candidate.wake_at, wake_at);
        if woken_at != wake_at {
            woken_at.map(|at| self.wakes.remove(&(at, key)));
            wake_at.map(|at| self.wakes.insert((at, key)));
        }
        let ready = &mut self.ready[candidate.zone.index()];
        match (has_room, candidate.ready_at) {
            (true, None) => candidate.ready_at = Some(ready.push(candidate.snapshot(key, now))),
            (true, Some(position)) => ready.replace(position, candidate.snapshot(key, now)),
            (false, Some(_)) => self.leave_ready(key),
            (false, None) => {}
        }
    }

    fn leave_ready(&mut self, key: Key) {
        let Some(candidate) = self.candidates.get_mut(key) else {
            return;
        };
        let Some(position) = candidate.ready_at.take() else {
            return;
        };
        let moved = self.ready[candidate.zone.index()].remove(position);
        if let Some(moved) = moved.and_then(|moved| self.candidates.get_mut(moved)) {
            moved.ready_at = Some(position);
        }
    }
}
