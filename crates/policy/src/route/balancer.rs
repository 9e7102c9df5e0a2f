//! The whole decision for the requests of one service at one entry.

use std::collections::BTreeSet;

use toucanquay_model::Time;

use super::{Candidate, Decision, Key, Outcome, Release, Request, Router, State, Zone, random};
use crate::{
    eject::{Ejector, Phase},
    queue::{Queue, Reason, Shed, Ticket},
    retry::Budget,
};

/// Weight of a new latency in the service's average.
const LATENCY_WEIGHT: f64 = 0.02;

/// Retry hint when no upstream is available, in microseconds: one heartbeat interval, in which a
/// new or recovered upstream becomes known.
const NO_UPSTREAM_MICROS: f64 = 1_000_000.0;

/// Waiting requests that are passed over in one tick because all upstreams with room are excluded
/// for them.
const PASSED_OVER_MAX: usize = 8;

/// The whole decision for the requests of one service at one entry.
///
/// `admit` says what to do with a new request. A request that was sent is reported to `finish`
/// when it ends. `tick` releases waiting requests; it must be called after each `finish`,
/// after each change of an upstream, and at `next_tick`.
///
/// # Examples
///
/// ```
/// use toucanquay_model::Time;
/// use toucanquay_policy::route::{Balancer, Decision, Outcome, Release, Request};
///
/// let now = Time::ZERO;
/// let mut balancer = Balancer::new("a");
/// let key = balancer.insert_warm("a", 1, now);
/// let request = Request::new(Time::from_millis(100));
///
/// assert_eq!(balancer.admit(&request, now, 1), Decision::Send(key));
/// let Decision::Wait(ticket) = balancer.admit(&request, now, 2) else { panic!() };
///
/// let now = Time::from_millis(5);
/// balancer.finish(key, Outcome::Answered, 5_000, now);
/// assert_eq!(balancer.tick(now, 3), [Release::Send(ticket, key)]);
/// ```
#[derive(Debug, Clone)]
pub struct Balancer {
    home: Zone,
    router: Router,
    ejector: Ejector<Key>,
    queue: Queue<Key>,
    budget: Budget,
    in_flight: u32,
    latency_micros: f64,
    outs: BTreeSet<(Time, Key)>,
}

impl Balancer {
    /// Returns a balancer without upstreams for an entry in the zone `home`.
    #[must_use]
    pub fn new(home: &str) -> Self {
        let mut router = Router::new();
        let home = router.zone(home);
        Self {
            home,
            router,
            ejector: Ejector::new(),
            queue: Queue::new(),
            budget: Budget::default(),
            in_flight: 0,
            latency_micros: 0.0,
            outs: BTreeSet::new(),
        }
    }

    /// Returns the upstreams.
    #[must_use]
    pub const fn router(&self) -> &Router {
        &self.router
    }

    /// Returns the waiting requests.
    #[must_use]
    pub const fn queue(&self) -> &Queue<Key> {
        &self.queue
    }

    /// Returns the retry budget.
    #[must_use]
    pub const fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Returns the requests of this entry in flight.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Adds an upstream, which starts slowly.
    pub fn insert(&mut self, zone: &str, slots: u32, now: Time) -> Key {
        let zone = self.router.zone(zone);
        let key = self.router.insert(zone, slots, now);
        self.ejector.insert(key);
        key
    }

    /// Adds an upstream that has been serving, for example when the entry itself is new.
    pub fn insert_warm(&mut self, zone: &str, slots: u32, now: Time) -> Key {
        let zone = self.router.zone(zone);
        let key = self.router.insert_warm(zone, slots, now);
        self.ejector.insert(key);
        key
    }

    /// Removes an upstream. Its requests in flight must still be reported to `finish`.
    pub fn remove(&mut self, key: Key) -> Option<Candidate> {
        if let Some(until) = self.ejector.out_until(key) {
            self.outs.remove(&(until, key));
        }
        self.ejector.remove(key);
        self.router.remove(key)
    }

    /// Changes the slots of an upstream.
    pub fn resize(&mut self, key: Key, slots: u32, now: Time) {
        self.router.resize(key, slots, now);
    }

    /// Changes the state of an upstream.
    pub fn set_state(&mut self, key: Key, state: State, now: Time) {
        self.router.set_state(key, state, now);
    }

    /// Takes in the companion's count of requests in flight, which counts those of all entries.
    pub fn report(&mut self, key: Key, in_flight: u32, now: Time) {
        self.router.report(key, in_flight, now);
    }

    /// Decides on a request that was not sent before.
    pub fn admit(&mut self, request: &Request, now: Time, random: u64) -> Decision {
        let decision = self.decide(request, now, random);
        if !matches!(decision, Decision::Shed(_)) {
            self.budget.deposit();
        }
        decision
    }

    /// Decides on a request that failed and may be sent again, or `None` when the retry budget is
    /// used up. The upstreams that failed it should be excluded.
    pub fn retry(&mut self, request: &Request, now: Time, random: u64) -> Option<Decision> {
        self.budget
            .withdraw()
            .then(|| self.decide(request, now, random))
    }

    /// Decides on a request that a companion refused as not run.
    ///
    /// It takes nothing from the retry budget, because the refusal itself slows down the sending.
    pub fn readmit(&mut self, request: &Request, now: Time, random: u64) -> Decision {
        self.decide(request, now, random)
    }

    /// Takes in the end of a request that was sent to `key` and took `latency_micros`.
    pub fn finish(&mut self, key: Key, outcome: Outcome, latency_micros: u64, now: Time) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if outcome == Outcome::Answered {
            self.learn_latency(latency_micros as f64);
        }
        self.router
            .finish(key, self.home, outcome, latency_micros, now);
        match outcome {
            Outcome::Answered => self.ejector.succeeded(key),
            Outcome::Failed => self.ejector.failed(key, now),
            Outcome::Unreachable => self.ejector.unreachable(key, now),
            Outcome::Refused | Outcome::Leaving | Outcome::Cancelled => {}
        }
        self.follow_phase(key, now);
    }

    /// Removes a waiting request whose client is gone, and tells whether it was waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.cancel(ticket).is_some()
    }

    /// Ends the waits that have become hopeless or for which there is room.
    pub fn tick(&mut self, now: Time, random: u64) -> Vec<Release> {
        self.router.tick(now);
        self.start_probes(now);
        self.set_pace();
        let mut releases = Vec::new();
        while let Some(ticket) = self.queue.expire(now) {
            let shed = Shed::new(Reason::Deadline, self.latency_micros);
            releases.push(Release::Shed(ticket, shed));
        }
        self.release(now, random, &mut releases);
        releases
    }

    /// Returns the next time at which [`Balancer::tick`] has something to do without an event.
    #[must_use]
    pub fn next_tick(&self) -> Option<Time> {
        let out = self.outs.first().map(|&(until, _)| until);
        [self.queue.next_expiry(), self.router.next_tick(), out]
            .into_iter()
            .flatten()
            .min()
    }

    fn decide(&mut self, request: &Request, now: Time, random: u64) -> Decision {
        self.router.tick(now);
        if request.deadline <= now {
            return Decision::Shed(Shed::new(Reason::Deadline, self.latency_micros));
        }
        if self.queue.is_empty()
            && let Some(key) = self.choose(&request.excluded, now, random)
        {
            self.start(key, now);
            return Decision::Send(key);
        }
        if !self.router.has_up() {
            return Decision::Shed(Shed::new(Reason::NoUpstream, NO_UPSTREAM_MICROS));
        }
        self.set_pace();
        match self.queue.push(request.deadline, &request.excluded, now) {
            Ok(ticket) => Decision::Wait(ticket),
            Err(shed) => Decision::Shed(shed),
        }
    }

    /// Chooses an upstream that is not excluded, or an excluded one when there is no other.
    fn choose(&self, excluded: &[Key], now: Time, random: u64) -> Option<Key> {
        let excluded = if excluded.len() < self.router.len() {
            excluded
        } else {
            &[]
        };
        self.router.pick(self.home, excluded, now, random)
    }

    fn start(&mut self, key: Key, now: Time) {
        self.router.start(key, now);
        self.in_flight += 1;
    }

    fn release(&mut self, now: Time, mut random: u64, releases: &mut Vec<Release>) {
        while self.router.has_ready() {
            random = random::next(random);
            let placed =
                self.queue
                    .iter()
                    .take(PASSED_OVER_MAX + 1)
                    .find_map(|(ticket, waiting)| {
                        let key = self.choose(&waiting.excluded, now, random)?;
                        Some((ticket, key))
                    });
            let Some((ticket, key)) = placed else {
                return;
            };
            self.queue.cancel(ticket);
            self.start(key, now);
            releases.push(Release::Send(ticket, key));
        }
    }

    fn start_probes(&mut self, now: Time) {
        while let Some(&(until, key)) = self.outs.first() {
            if until > now {
                return;
            }
            self.outs.pop_first();
            self.ejector.tick(key, now);
            self.router.set_phase(key, self.ejector.phase(key), now);
        }
    }

    fn follow_phase(&mut self, key: Key, now: Time) {
        let phase = self.ejector.phase(key);
        self.router.set_phase(key, phase, now);
        if phase == Phase::Out
            && let Some(until) = self.ejector.out_until(key)
        {
            self.outs.insert((until, key));
        }
    }

    fn learn_latency(&mut self, micros: f64) {
        if self.latency_micros == 0.0 {
            self.latency_micros = micros;
        }
        self.latency_micros += LATENCY_WEIGHT * (micros - self.latency_micros);
    }

    /// Sets the queue's pace by Little's law: requests in flight over their latency end per second.
    fn set_pace(&mut self) {
        let interval = self.latency_micros / f64::from(self.in_flight.max(1));
        self.queue.set_pace(interval, self.latency_micros);
    }
}
