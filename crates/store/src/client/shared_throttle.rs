//! The throttle that all calls of a client share.

use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use metrics::{counter, gauge};
use slog::{Logger, info, warn};
use tokio::time::Instant;
use toucanquay_model::{Error, ErrorKind, Time};

use super::{AttemptFailure, CallKind, millis};
use crate::{
    CircuitBreaker, Throttle, TokenBucket,
    circuit_breaker::{Permit, State},
    throttle::{Admission, Reservation},
};

/// A [`Throttle`] behind a mutex, driven by the process's monotonic clock. Exports the breaker's
/// state as a metric and logs outages.
#[derive(Debug)]
pub(super) struct SharedThrottle {
    origin: Instant,
    throttle: Mutex<Throttle>,
    log: Logger,
}

impl SharedThrottle {
    pub(super) fn new(calls_per_second: u32, probe_timeout: Duration, log: Logger) -> Self {
        let bucket = TokenBucket::new(calls_per_second, Time::ZERO);
        let breaker = CircuitBreaker::new(1_000 * millis(probe_timeout));
        Self {
            origin: Instant::now(),
            throttle: Mutex::new(Throttle::new(bucket, breaker)),
            log,
        }
    }

    /// Returns whether the breaker currently lets calls through.
    pub(super) fn is_available(&self) -> bool {
        !self.lock().refuses(self.now())
    }

    /// Returns whether the breaker is closed, so that no outage is known.
    pub(super) fn is_breaker_closed(&self) -> bool {
        self.lock().state() == State::Closed
    }

    /// Waits for the budget, at most until `latest`, then asks the breaker for a permit.
    pub(super) async fn acquire(
        &self,
        kind: CallKind,
        latest: Instant,
    ) -> Result<Permit, AttemptFailure> {
        loop {
            let reservation = self.reserve(kind, latest)?;
            tokio::time::sleep_until(self.to_instant(reservation.send_at)).await;
            let admission = self.lock().admit(reservation, self.now());
            match admission {
                Admission::Admitted(permit) => {
                    if permit.is_probe {
                        self.publish_state();
                    }
                    return Ok(permit);
                }
                Admission::Refused => return Err(refusal("breaker")),
                Admission::Invalidated => {}
            }
        }
    }

    /// Records that the store responded.
    pub(super) fn record_success(&self, permit: Permit) {
        let now = self.now();
        let has_recovered = self.lock().record_success(permit, now);
        if has_recovered {
            info!(self.log, "store_available");
            self.publish_state();
        }
    }

    /// Records that the store did not respond.
    pub(super) fn record_failure(&self, permit: Permit, cause: &Error) {
        let now = self.now();
        if self.lock().record_failure(permit, now, rand::random()) {
            warn!(self.log, "store_unavailable"; "cause" => %cause);
            self.publish_state();
        }
    }

    fn reserve(&self, kind: CallKind, latest: Instant) -> Result<Reservation, AttemptFailure> {
        let now = self.now();
        let mut throttle = self.lock();
        if throttle.refuses(now) {
            return Err(refusal("breaker"));
        }
        let reservation = if kind.is_urgent() {
            throttle.reserve_urgent(now)
        } else {
            throttle.reserve(now, self.to_time(latest))
        };
        reservation.ok_or_else(|| refusal("budget"))
    }

    fn to_instant(&self, at: Time) -> Instant {
        self.origin + Duration::from_micros(at.as_micros())
    }

    fn now(&self) -> Time {
        self.to_time(Instant::now())
    }

    fn to_time(&self, at: Instant) -> Time {
        let micros = at.saturating_duration_since(self.origin).as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    fn publish_state(&self) {
        let state = match self.lock().state() {
            State::Closed => 0.0,
            State::HalfOpen { .. } => 1.0,
            State::Open { .. } => 2.0,
        };
        gauge!("store_breaker_state").set(state);
    }

    fn lock(&self) -> MutexGuard<'_, Throttle> {
        self.throttle
            .lock()
            .expect("no code panics while it holds the throttle lock")
    }
}

fn refusal(cause: &'static str) -> AttemptFailure {
    counter!("store_refusals_total", "cause" => cause).increment(1);
    let error = Error::new(ErrorKind::StoreUnavailable);
    AttemptFailure::permanent(error.context(format_args!("refused by the client's {cause}")))
}
