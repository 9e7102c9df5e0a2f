//! Decides when a call is sent.

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

/// The throttle of a client, on the clock of the process.
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

    /// Tells whether the breaker lets calls through.
    pub(super) fn is_available(&self) -> bool {
        !self.lock().refuses(self.now())
    }

    /// Tells whether the breaker has let every call through since the last success.
    pub(super) fn is_breaker_closed(&self) -> bool {
        self.lock().state() == State::Closed
    }

    /// Waits for the budget, at most until `latest`, then asks the breaker.
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

    /// Notes that the store answered.
    pub(super) fn record_success(&self, permit: Permit) {
        let now = self.now();
        let has_recovered = self.lock().record_success(permit, now);
        if has_recovered {
            info!(self.log, "store_available");
            self.publish_state();
        }
    }

    /// Notes that the store did not answer.
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
            .expect("no holder of this lock panics while it changes the throttle")
    }
}

fn refusal(cause: &'static str) -> AttemptFailure {
    counter!("store_refusals_total", "cause" => cause).increment(1);
    let error = Error::new(ErrorKind::StoreUnavailable);
    AttemptFailure::permanent(error.context(format_args!("refused by the client's {cause}")))
}
