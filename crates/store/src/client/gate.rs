//! Decides when a call is sent.

use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use metrics::{counter, gauge};
use slog::{Logger, info, warn};
use tokio::time::Instant;
use toucanquay_model::{Error, ErrorKind, Time};

use super::{Call, Failure, millis};
use crate::{
    Breaker, Budget, Throttle,
    breaker::{Permit, State},
    throttle::{Admission, Reservation},
};

/// The throttle of a client, on the clock of the process.
#[derive(Debug)]
pub(super) struct Gate {
    zero: Instant,
    throttle: Mutex<Throttle>,
    log: Logger,
}

impl Gate {
    pub(super) fn new(calls_per_second: u32, probe_limit: Duration, log: Logger) -> Self {
        let budget = Budget::new(calls_per_second, Time::ZERO);
        let breaker = Breaker::new(1_000 * millis(probe_limit));
        Self {
            zero: Instant::now(),
            throttle: Mutex::new(Throttle::new(budget, breaker)),
            log,
        }
    }

    /// Tells whether the breaker lets calls through.
    pub(super) fn is_available(&self) -> bool {
        !self.lock().refuses(self.now())
    }

    /// Tells whether the breaker has let every call through since the last success.
    pub(super) fn is_closed(&self) -> bool {
        self.lock().state() == State::Closed
    }

    /// Waits for the budget, at most until `latest`, then asks the breaker.
    pub(super) async fn pass(&self, call: Call, latest: Instant) -> Result<Permit, Failure> {
        loop {
            let reservation = self.reserve(call, latest)?;
            tokio::time::sleep_until(self.to_instant(reservation.send_at)).await;
            let admission = self.lock().admit(reservation, self.now());
            match admission {
                Admission::Admitted(permit) => {
                    if permit.is_probe {
                        self.show_state();
                    }
                    return Ok(permit);
                }
                Admission::Refused => return Err(refuse("breaker")),
                Admission::Void => {}
            }
        }
    }

    /// Notes that the store answered.
    pub(super) fn succeed(&self, permit: Permit) {
        let now = self.now();
        let is_back = self.lock().succeed(permit, now);
        if is_back {
            info!(self.log, "store_available");
            self.show_state();
        }
    }

    /// Notes that the store did not answer.
    pub(super) fn fail(&self, permit: Permit, cause: &Error) {
        let now = self.now();
        if self.lock().fail(permit, now, rand::random()) {
            warn!(self.log, "store_unavailable"; "cause" => %cause);
            self.show_state();
        }
    }

    fn reserve(&self, call: Call, latest: Instant) -> Result<Reservation, Failure> {
        let now = self.now();
        let mut throttle = self.lock();
        if throttle.refuses(now) {
            return Err(refuse("breaker"));
        }
        let reservation = if call.is_urgent() {
            throttle.reserve_urgent(now)
        } else {
            throttle.reserve(now, self.to_time(latest))
        };
        reservation.ok_or_else(|| refuse("budget"))
    }

    fn to_instant(&self, at: Time) -> Instant {
        self.zero + Duration::from_micros(at.as_micros())
    }

    fn now(&self) -> Time {
        self.to_time(Instant::now())
    }

    fn to_time(&self, at: Instant) -> Time {
        let micros = at.saturating_duration_since(self.zero).as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    fn show_state(&self) {
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

fn refuse(cause: &'static str) -> Failure {
    counter!("store_refusals_total", "cause" => cause).increment(1);
    let error = Error::new(ErrorKind::StoreUnavailable);
    Failure::refused(error.context(format_args!("refused by the client's {cause}")))
}
