//! When one process may call the store.

mod admission;
mod reservation;

use toucanquay_model::Time;

pub use admission::Admission;
pub use reservation::Reservation;

use crate::{
    Breaker, Budget,
    breaker::{Permit, State},
};

/// Budget and breaker of one client.
///
/// A call reserves a time first, and is admitted when that time has come. The end of an outage
/// empties the budget, and with it the times that were reserved during the outage: those calls
/// would otherwise go out together with the first ones after it.
///
/// # Examples
///
/// ```
/// use toucanquay_model::Time;
/// use toucanquay_store::{Breaker, Budget, Throttle, throttle::Admission};
///
/// let now = Time::ZERO;
/// let mut throttle = Throttle::new(Budget::new(10, now), Breaker::new(1_000_000));
/// let reservation = throttle.reserve(now, now).unwrap();
///
/// assert!(matches!(throttle.admit(reservation, now), Admission::Admitted(_)));
/// ```
#[derive(Debug, Clone)]
pub struct Throttle {
    budget: Budget,
    breaker: Breaker,
    /// Outages that have ended. A reservation of an earlier count is void.
    outages: u64,
}

impl Throttle {
    /// Returns a throttle of the two.
    #[must_use]
    pub const fn new(budget: Budget, breaker: Breaker) -> Self {
        Self {
            budget,
            breaker,
            outages: 0,
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
        let send_at = self.budget.take(now, latest)?;
        Some(self.reservation(send_at))
    }

    /// Reserves the present time for a call that must not wait behind others; see
    /// [`Budget::take_urgent`].
    pub fn reserve_urgent(&mut self, now: Time) -> Option<Reservation> {
        let is_granted = self.budget.take_urgent(now);
        is_granted.then(|| self.reservation(now))
    }

    /// Admits a call whose reserved time has come.
    pub fn admit(&mut self, reservation: Reservation, now: Time) -> Admission {
        if reservation.outages != self.outages {
            return Admission::Void;
        }
        match self.breaker.admit(now) {
            Some(permit) => Admission::Admitted(permit),
            None => Admission::Refused,
        }
    }

    /// Notes that the store answered. Returns whether an outage has ended.
    pub fn succeed(&mut self, permit: Permit, now: Time) -> bool {
        let is_back = self.breaker.succeed(permit);
        if is_back {
            self.budget.drain(now);
            self.outages += 1;
        }
        is_back
    }

    /// Notes that the store did not answer; `random` is from 0.0 to 1.0. Returns whether an outage
    /// has begun.
    pub fn fail(&mut self, permit: Permit, now: Time, random: f64) -> bool {
        self.breaker.fail(permit, now, random)
    }

    const fn reservation(&self, send_at: Time) -> Reservation {
        Reservation {
            send_at,
            outages: self.outages,
        }
    }
}
