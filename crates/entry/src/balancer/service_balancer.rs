//! Balancer of one service.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use foldhash::fast::RandomState;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::sync::{Notify, oneshot};
use toucanquay_model::{Error, ErrorKind, Time, upstream::Announcement, worker};
use toucanquay_policy::{
    queue::{Reason, Shed},
    route::{Balancer, Decision, Key, Outcome, Release, Request, State, Ticket},
};
use toucanquay_wire::Clock;

use super::{
    AdmissionKind, Permit, Rejection,
    queued_request::{AcquireResult, QueuedRequest},
};
use crate::forward::Target;

/// Upstreams and queued requests of one service and traffic class at this entry.
#[derive(Debug)]
pub struct ServiceBalancer {
    clock: Clock,
    inner: Mutex<Inner>,
    /// Notified when a request is queued, since its deadline may be the next to expire.
    deadline_changed: Notify,
}

#[derive(Debug)]
struct Inner {
    balancer: Balancer,
    targets: HashMap<Key, Target, RandomState>,
    keys: HashMap<worker::Id, Key, RandomState>,
    waiting: HashMap<Ticket, oneshot::Sender<AcquireResult>, RandomState>,
    random: StdRng,
}

impl ServiceBalancer {
    /// Returns a balancer without upstreams for an entry in `zone`.
    #[must_use]
    pub fn new(zone: &str, clock: Clock) -> Self {
        let inner = Inner {
            balancer: Balancer::new(zone),
            targets: HashMap::default(),
            keys: HashMap::default(),
            waiting: HashMap::default(),
            random: StdRng::from_rng(&mut rand::rng()),
        };
        Self {
            clock,
            inner: Mutex::new(inner),
            deadline_changed: Notify::new(),
        }
    }

    /// Adds an upstream, or replaces the one of the same worker.
    ///
    /// The upstream gets at most `slots` concurrent requests from this balancer. If `is_warm`, it
    /// gets its full share without slow start, for example because it was already serving when this
    /// entry started.
    pub fn add_upstream(self: &Arc<Self>, announcement: &Announcement, slots: u32, is_warm: bool) {
        let now = self.clock.now();
        let target = Target {
            worker: announcement.worker.clone(),
            incarnation: announcement.incarnation,
            address: announcement.address,
        };
        let mut inner = self.lock();
        inner.remove(&announcement.worker);
        let key = if is_warm {
            inner.balancer.insert_warm(&announcement.zone, slots, now)
        } else {
            inner.balancer.insert(&announcement.zone, slots, now)
        };
        inner.targets.insert(key, target);
        inner.keys.insert(announcement.worker.clone(), key);
        drop(inner);
        self.release_queued();
    }

    /// Removes the upstream of a worker.
    pub fn remove_upstream(self: &Arc<Self>, worker: &worker::Id) {
        self.lock().remove(worker);
        self.release_queued();
    }

    /// Updates the state and the load of an upstream.
    pub fn update_upstream(self: &Arc<Self>, worker: &worker::Id, state: State, in_flight: u32) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let Some(&key) = inner.keys.get(worker) else {
            return;
        };
        inner.balancer.set_state(key, state, now);
        inner.balancer.record_report(key, in_flight, now);
        drop(inner);
        self.release_queued();
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.lock().waiting.len()
    }

    /// Returns a permit for `request`, after queueing if no upstream has a free slot.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Overloaded`], [`ErrorKind::NoUpstream`] or [`ErrorKind::DeadlineBeforeSend`];
    /// the request was not sent.
    pub async fn acquire(
        self: &Arc<Self>,
        request: &Request,
        admission: AdmissionKind,
    ) -> AcquireResult {
        let queued_request = match self.admit(request, admission)? {
            Ok(permit) => return Ok(permit),
            Err(queued_request) => queued_request,
        };
        self.deadline_changed.notify_one();
        queued_request.wait().await
    }

    /// Expires queued requests at their deadlines. Never returns.
    pub async fn run(self: Arc<Self>) {
        loop {
            self.release_queued();
            let next = self.lock().balancer.next_tick().unwrap_or(Time::NEVER);
            let next = next.max(self.clock.now().plus_millis(1));
            tokio::select! {
                () = tokio::time::sleep_until(self.clock.instant(next)) => {}
                () = self.deadline_changed.notified() => {}
            }
        }
    }

    pub(super) fn finish(self: &Arc<Self>, key: Key, outcome: Outcome, started_at: Time) {
        let now = self.clock.now();
        let latency_micros = now.micros_since(started_at);
        self.lock()
            .balancer
            .finish(key, outcome, latency_micros, now);
        self.release_queued();
    }

    pub(super) fn cancel(&self, ticket: Ticket) {
        let mut inner = self.lock();
        if inner.waiting.remove(&ticket).is_some() {
            inner.balancer.cancel(ticket);
        }
    }

    fn admit(
        self: &Arc<Self>,
        request: &Request,
        admission: AdmissionKind,
    ) -> Result<Result<Permit, QueuedRequest>, Rejection> {
        let now = self.clock.now();
        let mut inner = self.lock();
        let random = inner.random.next_u64();
        let decision = match admission {
            AdmissionKind::First => inner.balancer.admit(request, now, random),
            AdmissionKind::Readmit => inner.balancer.readmit(request, now, random),
            AdmissionKind::Retry => inner
                .balancer
                .retry(request, now, random)
                .ok_or_else(retry_budget_exhausted)?,
        };
        match decision {
            Decision::Send(key) => {
                let target = inner.target(key);
                Ok(Ok(Permit::new(self.clone(), key, target, now)))
            }
            Decision::Wait(ticket) => {
                let (sender, receiver) = oneshot::channel();
                inner.waiting.insert(ticket, sender);
                Ok(Err(QueuedRequest::new(self.clone(), ticket, receiver)))
            }
            Decision::Shed(shed) => Err(rejection(shed)),
        }
    }

    /// Releases queued requests. The lock is released before permits are sent or dropped, since
    /// dropping a permit acquires it again.
    fn release_queued(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut released: Vec<(oneshot::Sender<AcquireResult>, AcquireResult)> = Vec::new();
        let mut unclaimed: Vec<Permit> = Vec::new();
        let mut inner = self.lock();
        let random = inner.random.next_u64();
        for release in inner.balancer.tick(now, random) {
            match release {
                Release::Send(ticket, key) => {
                    let target = inner.target(key);
                    let permit = Permit::new(self.clone(), key, target, now);
                    match inner.waiting.remove(&ticket) {
                        Some(sender) => released.push((sender, Ok(permit))),
                        None => unclaimed.push(permit),
                    }
                }
                Release::Shed(ticket, shed) => {
                    if let Some(sender) = inner.waiting.remove(&ticket) {
                        released.push((sender, Err(rejection(shed))));
                    }
                }
            }
        }
        drop(inner);
        for (sender, release) in released {
            // If the client has disconnected, the permit is dropped here.
            drop(sender.send(release));
        }
        drop(unclaimed);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .expect("no thread panics while it holds this lock")
    }
}

impl Inner {
    fn remove(&mut self, worker: &worker::Id) {
        if let Some(key) = self.keys.remove(worker) {
            self.balancer.remove(key);
            self.targets.remove(&key);
        }
    }

    fn target(&self, key: Key) -> Target {
        self.targets
            .get(&key)
            .cloned()
            .expect("each candidate of the balancer has a target")
    }
}

fn rejection(shed: Shed) -> Rejection {
    let kind = match shed.reason {
        Reason::NoUpstream => ErrorKind::NoUpstream,
        Reason::Deadline => ErrorKind::DeadlineBeforeSend,
        _ => ErrorKind::Overloaded,
    };
    Rejection {
        error: Error::new(kind),
        retry_after_ms: Some(shed.retry_after_micros.div_ceil(1_000)),
    }
}

fn retry_budget_exhausted() -> Rejection {
    Error::new(ErrorKind::NoUpstream)
        .context("retry budget exhausted")
        .into()
}
