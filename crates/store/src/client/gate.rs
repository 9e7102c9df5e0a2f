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
    Breaker, Budget,
    breaker::{Permit, State},
};

/// The budget and the breaker of a client, on the clock of the process.
#[derive(Debug)]
pub(super) struct Gate {
    zero: Instant,
    limits: Mutex<(Budget, Breaker)>,
    log: Logger,
}

impl Gate {
    pub(super) fn new(calls_per_second: u32, probe_limit: Duration, log: Logger) -> Self {
        let budget = Budget::new(calls_per_second, Time::ZERO);
        let breaker = Breaker::new(1_000 * millis(probe_limit));
        Self {
            zero: Instant::now(),
            limits: Mutex::new((budget, breaker)),
            log,
        }
    }

    /// Tells whether the breaker lets calls through.
    pub(super) fn is_available(&self) -> bool {
        !self.lock().1.refuses(self.now())
    }

    /// Tells whether the breaker has let every call through since the last success.
    pub(super) fn is_closed(&self) -> bool {
        self.lock().1.state() == State::Closed
    }

    /// Waits for the budget, at most until `latest`, then asks the breaker.
    pub(super) async fn pass(&self, call: Call, latest: Instant) -> Result<Permit, Failure> {
        let send_at = self.reserve(call, latest)?;
        tokio::time::sleep_until(send_at).await;
        let admitted = self.lock().1.admit(self.now());
        let permit = admitted.ok_or_else(|| refuse("breaker"))?;
        if permit.is_probe {
            self.show_state();
        }
        Ok(permit)
    }

    /// Notes that the store answered.
    pub(super) fn succeed(&self, permit: Permit) {
        let now = self.now();
        let mut limits = self.lock();
        if limits.1.succeed(permit) {
            limits.0.drain(now);
            drop(limits);
            info!(self.log, "store_available");
            self.show_state();
        }
    }

    /// Notes that the store did not answer.
    pub(super) fn fail(&self, permit: Permit, cause: &Error) {
        let now = self.now();
        if self.lock().1.fail(permit, now, rand::random()) {
            warn!(self.log, "store_unavailable"; "cause" => %cause);
            self.show_state();
        }
    }

    fn reserve(&self, call: Call, latest: Instant) -> Result<Instant, Failure> {
        let now = self.now();
        let mut limits = self.lock();
        let (budget, breaker) = &mut *limits;
        if breaker.refuses(now) {
            return Err(refuse("breaker"));
        }
        let send_at = if call.is_urgent() {
            budget.take_urgent(now).then_some(now)
        } else {
            budget.take(now, self.to_time(latest))
        };
        let send_at = send_at.ok_or_else(|| refuse("budget"))?;
        Ok(self.zero + Duration::from_micros(send_at.as_micros()))
    }

    fn now(&self) -> Time {
        self.to_time(Instant::now())
    }

    fn to_time(&self, at: Instant) -> Time {
        let micros = at.saturating_duration_since(self.zero).as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    fn show_state(&self) {
        let state = match self.lock().1.state() {
            State::Closed => 0.0,
            State::HalfOpen { .. } => 1.0,
            State::Open { .. } => 2.0,
        };
        gauge!("store_breaker_state").set(state);
    }

    fn lock(&self) -> MutexGuard<'_, (Budget, Breaker)> {
        self.limits
            .lock()
            .expect("no holder of this lock panics while it changes the limits")
    }
}

fn refuse(cause: &'static str) -> Failure {
    counter!("store_refusals_total", "cause" => cause).increment(1);
    let error = Error::new(ErrorKind::StoreUnavailable);
    Failure::refused(error.context(format_args!("refused by the client's {cause}")))
}
