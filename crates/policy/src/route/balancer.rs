//! Routing decisions for the requests of one service at one entry.

use std::collections::BTreeSet;

use toucanquay_model::Time;

use super::{Decision, Key, Outcome, Release, Request, Router, State, Upstream, Zone, random};
use crate::{
    eject::{Ejector, Phase},
    queue::{Queue, Reason, Shed, Ticket},
    retry::Budget,
};

/// Smoothing factor of the service's moving average of latency.
const LATENCY_WEIGHT: f64 = 0.02;

/// Retry hint when no upstream is available, in microseconds. It is one heartbeat interval, after
/// which the entry knows of a new or recovered upstream.
const NO_UPSTREAM_RETRY_MICROS: f64 = 1_000_000.0;

/// Maximum number of waiting requests skipped in one search of the queue because they exclude every
/// upstream with free capacity.
const SKIPPED_MAX: usize = 8;

/// Makes the routing decisions for the requests of one service at one entry.
///
/// [`admit`](Self::admit) decides what to do with a new request. The caller reports the end of each
/// sent request to [`finish`](Self::finish). [`tick`](Self::tick) releases waiting requests; it
/// must be called after each `finish`, after each change of an upstream, and at
/// [`next_tick`](Self::next_tick).
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
    /// Longest time that a request ran in vain.
    failed_run_micros: u64,
    ejection_ends: BTreeSet<(Time, Key)>,
}

impl Balancer {
    /// Creates a balancer without upstreams for an entry in `local_zone`.
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
            failed_run_micros: 0,
            ejection_ends: BTreeSet::new(),
        }
    }

    /// Returns the router, which holds the upstreams.
    #[must_use]
    pub const fn router(&self) -> &Router {
        &self.router
    }

    /// Returns the queue of waiting requests.
    #[must_use]
    pub const fn queue(&self) -> &Queue<Key> {
        &self.queue
    }

    /// Returns the retry budget.
    #[must_use]
    pub const fn retry_budget(&self) -> &Budget {
        &self.retry_budget
    }

    /// Returns the number of requests that this entry has in flight.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Adds an upstream, which goes through slow start.
    pub fn insert(&mut self, zone: &str, slots: u32, now: Time) -> Key {
        let zone = self.router.zone(zone);
        let key = self.router.insert(zone, slots, now);
        self.ejector.insert(key);
        key
    }

    /// Adds an upstream without slow start. Used for upstreams that were already serving, for
    /// example when the entry itself has just started.
    pub fn insert_warm(&mut self, zone: &str, slots: u32, now: Time) -> Key {
        let zone = self.router.zone(zone);
        let key = self.router.insert_warm(zone, slots, now);
        self.ejector.insert(key);
        key
    }

    /// Removes an upstream. The caller must still report its requests in flight to `finish`.
    pub fn remove(&mut self, key: Key) -> Option<Upstream> {
        if let Some(until) = self.ejector.ejected_until(key) {
            self.ejection_ends.remove(&(until, key));
        }
        self.ejector.remove(key);
        self.router.remove(key)
    }

    /// Changes the number of slots of an upstream.
    pub fn resize(&mut self, key: Key, slots: u32, now: Time) {
        self.router.resize(key, slots, now);
    }

    /// Changes the state of an upstream.
    pub fn set_state(&mut self, key: Key, state: State, now: Time) {
        self.router.set_state(key, state, now);
    }

    /// Records the number of requests in flight that the companion reported. It includes the
    /// requests of all entries.
    pub fn record_report(&mut self, key: Key, in_flight: u32, now: Time) {
        self.router.record_report(key, in_flight, now);
    }

    /// Decides what to do with a new request.
    pub fn admit(&mut self, request: &Request, now: Time, random: u64) -> Decision {
        let decision = self.decide(request, now, random);
        if !matches!(decision, Decision::Shed(_)) {
            self.retry_budget.deposit();
        }
        decision
    }

    /// Decides what to do with a failed request that may be sent again. Returns `None` when the
    /// retry budget is exhausted. The request should exclude the upstreams on which it failed.
    pub fn retry(&mut self, request: &Request, now: Time, random: u64) -> Option<Decision> {
        self.retry_budget
            .withdraw()
            .then(|| self.decide(request, now, random))
    }

    /// Decides what to do with a request that a companion refused without running it.
    ///
    /// It does not use the retry budget, because the refusal itself already lowers the send rate.
    pub fn readmit(&mut self, request: &Request, now: Time, random: u64) -> Decision {
        self.decide(request, now, random)
    }

    /// Records the end of a request that was sent to `key` and took `latency_micros`.
    pub fn finish(&mut self, key: Key, outcome: Outcome, latency_micros: u64, now: Time) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Succeeded => self.record_latency(latency_micros as f64),
            Outcome::Failed => self.failed_run_micros = self.failed_run_micros.max(latency_micros),
            _ => {}
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

    /// Removes a waiting request whose client has disconnected. Returns whether it was waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.cancel(ticket).is_some()
    }

    /// Sheds waiting requests that can no longer meet their deadline and sends those for which an
    /// upstream has free capacity.
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

    /// Returns the next time at which [`Balancer::tick`] has work to do even if no event occurs.
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

    /// Picks an upstream that is not excluded. Exclusions are ignored when they could cover all
    /// upstreams.
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

    /// Updates the queue's estimates by Little's law: the throughput is the number of requests in
    /// flight divided by their latency.
    fn update_queue_estimates(&mut self) {
        let release_interval_micros = self.latency_micros / f64::from(self.in_flight.max(1));
        self.queue
            .set_estimates(release_interval_micros, self.service_time_micros());
    }

    /// Returns the expected service time: the usual latency, or the longest run in vain of a
    /// service that has answered nothing so far.
    const fn service_time_micros(&self) -> f64 {
        if self.latency_micros > 0.0 {
            return self.latency_micros;
        }
        self.failed_run_micros as f64
    }
}
