//! Client-side throttling of calls.

mod admission;
mod reservation;

use toucanquay_model::Time;

pub use admission::Admission;
pub use reservation::Reservation;

use crate::{
    CircuitBreaker, TokenBucket,
    circuit_breaker::{Permit, State},
};

/// Token bucket and circuit breaker of one client.
///
/// A call first reserves a send time and is admitted when that time has come. The end of an outage
/// drains the bucket and invalidates the times that were reserved during the outage: those calls
/// would otherwise be sent in a burst with the first calls after it.
///
/// # Examples
///
/// ```
/// use toucanquay_model::Time;
/// use toucanquay_store::{CircuitBreaker, TokenBucket, Throttle, throttle::Admission};
///
/// let now = Time::ZERO;
/// let mut throttle = Throttle::new(TokenBucket::new(10, now), CircuitBreaker::new(1_000_000));
/// let reservation = throttle.reserve(now, now).unwrap();
///
/// assert!(matches!(throttle.admit(reservation, now), Admission::Admitted(_)));
/// ```
#[derive(Debug, Clone)]
pub struct Throttle {
    bucket: TokenBucket,
    breaker: CircuitBreaker,
    /// Number of outages that have ended. Reservations with a lower count are invalid.
    recoveries: u64,
}

impl Throttle {
    /// Creates a throttle from a bucket and a breaker.
    #[must_use]
    pub const fn new(bucket: TokenBucket, breaker: CircuitBreaker) -> Self {
        Self {
            bucket,
            breaker,
            recoveries: 0,
        }
    }

    /// Returns the breaker's state.
    #[must_use]
    pub const fn state(&self) -> State {
        self.breaker.state()
    }

    /// Returns whether the breaker would refuse a call now.
    #[must_use]
    pub fn refuses(&self, now: Time) -> bool {
        self.breaker.refuses(now)
    }

    /// Reserves a send time no later than `latest` for a call, or returns `None` if the bucket has
    /// none.
    pub fn reserve(&mut self, now: Time, latest: Time) -> Option<Reservation> {
        let send_at = self.bucket.take(now, latest)?;
        Some(self.reservation(send_at))
    }

    /// Reserves the current time for a call that must not queue behind others; see
    /// [`TokenBucket::take_urgent`].
    pub fn reserve_urgent(&mut self, now: Time) -> Option<Reservation> {
        let is_granted = self.bucket.take_urgent(now);
        is_granted.then(|| self.reservation(now))
    }

    /// Admits a call whose reserved time has come.
    pub fn admit(&mut self, reservation: Reservation, now: Time) -> Admission {
        if reservation.recoveries != self.recoveries {
            return Admission::Invalidated;
        }
        match self.breaker.admit(now) {
            Some(permit) => Admission::Admitted(permit),
            None => Admission::Refused,
        }
    }

    /// Records that the store responded. Returns whether this ended an outage.
    pub fn record_success(&mut self, permit: Permit, now: Time) -> bool {
        let has_recovered = self.breaker.record_success(permit);
        if has_recovered {
            self.bucket.drain(now);
            self.recoveries += 1;
        }
        has_recovered
    }

    /// Records that the store did not respond; `random` is between 0.0 and 1.0. Returns whether
    /// this opened the breaker.
    pub fn record_failure(&mut self, permit: Permit, now: Time, random: f64) -> bool {
        self.breaker.record_failure(permit, now, random)
    }

    const fn reservation(&self, send_at: Time) -> Reservation {
        Reservation {
            send_at,
            recoveries: self.recoveries,
        }
    }
}
