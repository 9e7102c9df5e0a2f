//! The whole decision for the requests of one service at one entry.

use std::collections::BTreeSet;

use toucanquay_model::Time;

use super::{Decision, Key, Outcome, Release, Request, Router, State, Upstream, Zone, random};
use crate::{
    eject::{Ejector, Phase},
    queue::{Queue, Reason, Shed, Ticket},
    retry::Budget,
};

/// Weight of a new latency in the service's average.
const LATENCY_WEIGHT: f64 = 0.02;

/// Retry hint when no upstream is available, in microseconds: one heartbeat interval, in which a
/// new or recovered upstream becomes known.
const NO_UPSTREAM_RETRY_MICROS: f64 = 1_000_000.0;

/// Waiting requests that are passed over in one tick because all upstreams with room are excluded
/// for them.
const SKIPPED_MAX: usize = 8;

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
/// balancer.finish(key, Outcome::Succeeded, 5_000, now);
/// assert_eq!(balancer.tick(now, 3), [Release::Send(ticket, key)]);
/// ```
#[derive(Debug, Clone)]
pub struct Balancer {
    local_zone: Zone,
    router: Router,
    ejector: Ejector<Key>,
    queue: Queue<Key>,
    retry_budget: Budget,
    in_flight: u32,
    latency_micros: f64,
    ejection_ends: BTreeSet<(Time, Key)>,
}

impl Balancer {
    /// Returns a balancer without upstreams for an entry in the zone `local_zone`.
    #[must_use]
    pub fn new(local_zone: &str) -> Self {
        let mut router = Router::new();
        let local_zone = router.zone(local_zone);
        Self {
            local_zone,
            router,
            ejector: Ejector::new(),
            queue: Queue::new(),
            retry_budget: Budget::default(),
            in_flight: 0,
            latency_micros: 0.0,
            ejection_ends: BTreeSet::new(),
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
    pub const fn retry_budget(&self) -> &Budget {
        &self.retry_budget
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
    pub fn remove(&mut self, key: Key) -> Option<Upstream> {
        if let Some(until) = self.ejector.ejected_until(key) {
            self.ejection_ends.remove(&(until, key));
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
    pub fn record_report(&mut self, key: Key, in_flight: u32, now: Time) {
        self.router.record_report(key, in_flight, now);
    }

    /// Decides on a request that was not sent before.
    pub fn admit(&mut self, request: &Request, now: Time, random: u64) -> Decision {
        let decision = self.decide(request, now, random);
        if !matches!(decision, Decision::Shed(_)) {
            self.retry_budget.deposit();
        }
        decision
    }

    /// Decides on a request that failed and may be sent again, or `None` when the retry budget is
    /// used up. The upstreams that failed it should be excluded.
    pub fn retry(&mut self, request: &Request, now: Time, random: u64) -> Option<Decision> {
        self.retry_budget
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
        if outcome == Outcome::Succeeded {
            self.record_latency(latency_micros as f64);
        }
        self.router
            .finish(key, self.local_zone, outcome, latency_micros, now);
        match outcome {
            Outcome::Succeeded => self.ejector.record_success(key),
            Outcome::Failed => self.ejector.record_failure(key, now),
            Outcome::Unreachable => self.ejector.record_unreachable(key, now),
            Outcome::Refused | Outcome::Draining | Outcome::Cancelled => {}
        }
        self.sync_phase(key, now);
    }

    /// Removes a waiting request whose client is gone, and tells whether it was waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.cancel(ticket).is_some()
    }

    /// Ends the waits that have become hopeless or for which there is room.
    pub fn tick(&mut self, now: Time, random: u64) -> Vec<Release> {
        self.router.tick(now);
        self.start_probes(now);
        self.update_queue_estimates();
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
        let ejection_end = self.ejection_ends.first().map(|&(until, _)| until);
        [
            self.queue.next_expiry(),
            self.router.next_tick(),
            ejection_end,
        ]
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
            && let Some(key) = self.pick_upstream(&request.excluded, now, random)
        {
            self.start(key, now);
            return Decision::Send(key);
        }
        if !self.router.has_up() {
            return Decision::Shed(Shed::new(Reason::NoUpstream, NO_UPSTREAM_RETRY_MICROS));
        }
        self.update_queue_estimates();
        match self.queue.push(request.deadline, &request.excluded, now) {
            Ok(ticket) => Decision::Wait(ticket),
            Err(shed) => Decision::Shed(shed),
        }
    }

    /// Chooses an upstream that is not excluded, or an excluded one when there is no other.
    fn pick_upstream(&self, excluded: &[Key], now: Time, random: u64) -> Option<Key> {
        let excluded = if excluded.len() < self.router.len() {
            excluded
        } else {
            &[]
        };
        self.router.pick(self.local_zone, excluded, now, random)
    }

    fn start(&mut self, key: Key, now: Time) {
        self.router.start(key, now);
        self.in_flight += 1;
    }

    fn release(&mut self, now: Time, mut random: u64, releases: &mut Vec<Release>) {
        while self.router.has_ready() {
            random = random::next(random);
            let sendable = self
                .queue
                .iter()
                .take(SKIPPED_MAX + 1)
                .find_map(|(ticket, waiting)| {
                    let key = self.pick_upstream(&waiting.excluded, now, random)?;
                    Some((ticket, key))
                });
            let Some((ticket, key)) = sendable else {
                return;
            };
            self.queue.cancel(ticket);
            self.start(key, now);
            releases.push(Release::Send(ticket, key));
        }
    }

    fn start_probes(&mut self, now: Time) {
        while let Some(&(until, key)) = self.ejection_ends.first() {
            if until > now {
                return;
            }
            self.ejection_ends.pop_first();
            self.ejector.tick(key, now);
            self.router.set_phase(key, self.ejector.phase(key), now);
        }
    }

    fn sync_phase(&mut self, key: Key, now: Time) {
        let phase = self.ejector.phase(key);
        self.router.set_phase(key, phase, now);
        if phase == Phase::Ejected
            && let Some(until) = self.ejector.ejected_until(key)
        {
            self.ejection_ends.insert((until, key));
        }
    }

    fn record_latency(&mut self, micros: f64) {
        if self.latency_micros == 0.0 {
            self.latency_micros = micros;
        }
        self.latency_micros += LATENCY_WEIGHT * (micros - self.latency_micros);
    }

    /// Sets the queue's pace by Little's law: requests in flight over their latency end per second.
    fn update_queue_estimates(&mut self) {
        let release_interval_micros = self.latency_micros / f64::from(self.in_flight.max(1));
        self.queue
            .set_estimates(release_interval_micros, self.latency_micros);
    }
}
