//! Queue of requests that wait for a slot, ordered by deadline.

mod shed;
mod ticket;
mod waiting_request;

use std::collections::{BTreeMap, BTreeSet};

use slotmap::SlotMap;
use toucanquay_model::Time;

pub use shed::{Reason, Shed};
pub use ticket::Ticket;
pub use waiting_request::WaitingRequest;

/// Maximum number of waiting requests. It bounds memory; early shedding takes effect long before.
const LENGTH_MAX: usize = 10_000;

/// Latest effective deadline of a request, in microseconds after its arrival. Requests with a later
/// deadline, or none, would otherwise starve behind a stream of urgent ones.
const EFFECTIVE_DEADLINE_MICROS_MAX: u64 = 5_000_000;

/// Width of a bucket of deadlines, in microseconds. The number of requests ahead of a new one is
/// summed over buckets.
const BUCKET_MICROS: u64 = 10_000;

/// Maximum expected wait during a burst, as a share of a request's slack. The rest is reserved for
/// the tail of the service time.
const BURST_WAIT_SHARE: f64 = 0.5;

/// Maximum expected wait in a standing queue, as a share of a request's slack. A standing queue
/// serves no more requests than a short one and only delays all of them.
const STANDING_WAIT_SHARE: f64 = 0.2;

/// Time without being empty after which a queue counts as a standing queue, in microseconds.
const STANDING_MICROS: u64 = 200_000;

/// Queue ordered by deadline that sheds requests early when they cannot be served in time.
///
/// Pushing, popping, cancelling and expiring a request take logarithmic time.
///
/// # Examples
///
/// ```
/// use toucanquay_model::Time;
/// use toucanquay_policy::queue::Queue;
///
/// let mut queue: Queue<u32> = Queue::new();
/// let late = queue.push(Time::from_millis(90), &[], Time::ZERO).unwrap();
/// let soon = queue.push(Time::from_millis(50), &[], Time::ZERO).unwrap();
/// assert_eq!(queue.pop().map(|(ticket, _)| ticket), Some(soon));
/// assert_eq!(queue.expire(Time::from_millis(90)), Some(late));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Queue<K> {
    waiting: SlotMap<Ticket, WaitingRequest<K>>,
    order: BTreeSet<(Time, Ticket)>,
    deadlines: BTreeSet<(Time, Ticket)>,
    buckets: BTreeMap<u64, usize>,
    release_interval_micros: f64,
    service_time_micros: f64,
    nonempty_since: Time,
}

impl<K: Copy> Queue<K> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self {
            waiting: SlotMap::with_key(),
            order: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            buckets: BTreeMap::new(),
            release_interval_micros: 0.0,
            service_time_micros: 0.0,
            nonempty_since: Time::ZERO,
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the waiting requests in the order in which [`Queue::pop`] returns them.
    pub fn iter(&self) -> impl Iterator<Item = (Ticket, &WaitingRequest<K>)> {
        let entry = |&(_, ticket): &(Time, Ticket)| Some((ticket, self.waiting.get(ticket)?));
        self.order.iter().filter_map(entry)
    }

    /// Returns the earliest time at which [`Queue::expire`] returns a request.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Time> {
        let &(deadline, _) = self.deadlines.first()?;
        Some(self.latest_send(deadline))
    }

    /// Sets the expected interval between releases and the expected service time, in microseconds.
    pub const fn set_estimates(&mut self, release_interval_micros: f64, service_time_micros: f64) {
        self.release_interval_micros = release_interval_micros;
        self.service_time_micros = service_time_micros;
    }

    /// Adds a request that must be answered by `deadline` and should not go to `excluded`.
    ///
    /// # Errors
    ///
    /// Returns [`Shed`] when the request is not expected to be answered by its deadline, with the
    /// time after which a retry is expected to be accepted.
    pub fn push(&mut self, deadline: Time, excluded: &[K], now: Time) -> Result<Ticket, Shed> {
        let effective_deadline = deadline.min(now.plus_micros(EFFECTIVE_DEADLINE_MICROS_MAX));
        if self.is_empty() {
            self.nonempty_since = now;
        }
        self.check_admission(deadline, effective_deadline, now)?;
        let ticket = self.waiting.insert(WaitingRequest {
            deadline,
            effective_deadline,
            enqueued_at: now,
            excluded: excluded.into(),
        });
        self.order.insert((effective_deadline, ticket));
        self.deadlines.insert((deadline, ticket));
        *self
            .buckets
            .entry(Self::bucket(effective_deadline))
            .or_default() += 1;
        Ok(ticket)
    }

    /// Removes and returns the request with the earliest effective deadline.
    pub fn pop(&mut self) -> Option<(Ticket, WaitingRequest<K>)> {
        let &(_, ticket) = self.order.first()?;
        self.cancel(ticket).map(|waiting| (ticket, waiting))
    }

    /// Removes and returns one request that can no longer be answered in time, if any, by the
    /// service time that is expected now.
    pub fn expire(&mut self, now: Time) -> Option<Ticket> {
        let &(deadline, ticket) = self.deadlines.first()?;
        if self.latest_send(deadline) > now {
            return None;
        }
        self.cancel(ticket).map(|_| ticket)
    }

    /// Removes a request, for example because its client has disconnected.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<WaitingRequest<K>> {
        let waiting = self.waiting.remove(ticket)?;
        self.order.remove(&(waiting.effective_deadline, ticket));
        self.deadlines.remove(&(waiting.deadline, ticket));
        let bucket = Self::bucket(waiting.effective_deadline);
        if let Some(count) = self.buckets.get_mut(&bucket) {
            *count -= 1;
            if *count == 0 {
                self.buckets.remove(&bucket);
            }
        }
        Some(waiting)
    }

    fn check_admission(
        &self,
        deadline: Time,
        effective_deadline: Time,
        now: Time,
    ) -> Result<(), Shed> {
        let wait = self.expected_wait_micros(effective_deadline);
        let slack = deadline.micros_since(now) as f64 - self.service_time_micros;
        if slack <= 0.0 {
            return Err(Shed::new(Reason::Deadline, wait));
        }
        let share = if now.micros_since(self.nonempty_since) > STANDING_MICROS {
            STANDING_WAIT_SHARE
        } else {
            BURST_WAIT_SHARE
        };
        if wait > slack * share || self.len() >= LENGTH_MAX {
            return Err(Shed::new(Reason::Overloaded, wait));
        }
        Ok(())
    }

    /// Returns the expected wait of a request with `effective_deadline`, in microseconds.
    fn expected_wait_micros(&self, effective_deadline: Time) -> f64 {
        let ahead: usize = self
            .buckets
            .range(..=Self::bucket(effective_deadline))
            .map(|(_, count)| count)
            .sum();
        (ahead + 1) as f64 * self.release_interval_micros
    }

    /// Returns the latest time to send a request with `deadline`, by the expected service time.
    const fn latest_send(&self, deadline: Time) -> Time {
        let service_time_micros = self.service_time_micros as u64;
        Time::from_micros(deadline.as_micros().saturating_sub(service_time_micros))
    }

    const fn bucket(effective_deadline: Time) -> u64 {
        effective_deadline.as_micros() / BUCKET_MICROS
    }
}
