//! When one process may call the store.

mod admission;
mod reservation;

use toucanquay_model::Time;

pub use admission::Admission;
pub use reservation::Reservation;

use crate::{
    CircuitBreaker, TokenBucket,
    circuit_breaker::{Permit, State},
};

/// TokenBucket and breaker of one client.
///
/// A call reserves a time first, and is admitted when that time has come. The end of an outage
/// empties the budget, and with it the times that were reserved during the outage: those calls
/// would otherwise go out together with the first ones after it.
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
    /// Outages that have ended. A reservation of an earlier count is void.
    recoveries: u64,
}

impl Throttle {
    /// Returns a throttle of the two.
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

    /// Tells whether the breaker would refuse a call now.
    #[must_use]
    pub fn refuses(&self, now: Time) -> bool {
        self.breaker.refuses(now)
    }

    /// Reserves a time up to `latest` for a call; `None` if the budget has none.
    pub fn reserve(&mut self, now: Time, latest: Time) -> Option<Reservation> {
        let send_at = self.bucket.take(now, latest)?;
        Some(self.reservation(send_at))
    }

    /// Reserves the present time for a call that must not wait behind others; see
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

    /// Notes that the store answered. Returns whether an outage has ended.
    pub fn record_success(&mut self, permit: Permit, now: Time) -> bool {
        let has_recovered = self.breaker.record_success(permit);
        if has_recovered {
            self.bucket.drain(now);
            self.recoveries += 1;
        }
        has_recovered
    }

    /// Notes that the store did not answer; `random` is from 0.0 to 1.0. Returns whether an outage
    /// has begun.
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
