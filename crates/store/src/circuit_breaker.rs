//! The circuit breaker.

mod permit;
mod state;

use toucanquay_model::Time;

pub use permit::Permit;
pub use state::State;

use crate::Backoff;

/// Number of consecutive failures that open the breaker. A single lost response among successful
/// calls must not open it.
const FAILURES_TO_OPEN: u32 = 5;

/// Maximum time that the breaker stays open after it first opens, in microseconds. Jitter shortens
/// it by up to half.
const OPEN_BASE_MICROS: u64 = 500_000;

/// Maximum time that the breaker stays open at once, in microseconds. It bounds how late a client
/// notices the end of an outage.
const OPEN_MAX_MICROS: u64 = 5_000_000;

/// Circuit breaker: refuses calls after several consecutive failures, and lets one probe through
/// after a jittered, exponentially growing time.
///
/// A successful probe closes the breaker; a failed one opens it for longer. Outcomes of calls that
/// were admitted before the last change of state are ignored.
///
/// # Examples
///
/// ```
/// use toucanquay_model::Time;
/// use toucanquay_store::CircuitBreaker;
///
/// let mut breaker = CircuitBreaker::new(1_000_000);
/// let now = Time::ZERO;
/// for _ in 0..5 {
///     let permit = breaker.admit(now).unwrap();
///     breaker.record_failure(permit, now, 0.5);
/// }
/// assert!(breaker.admit(now).is_none());
/// ```
#[derive(Debug, Clone)]
pub struct CircuitBreaker {
    state: State,
    consecutive_failures: u32,
    consecutive_openings: u32,
    /// Incremented with each state transition. Outcomes with a permit of an earlier generation are
    /// ignored.
    generation: u64,
    backoff: Backoff,
    probe_timeout_micros: u64,
}

impl CircuitBreaker {
    /// Creates a closed breaker that considers a probe lost after `probe_timeout_micros`.
    #[must_use]
    pub const fn new(probe_timeout_micros: u64) -> Self {
        Self {
            backoff: Backoff::new(OPEN_BASE_MICROS, OPEN_MAX_MICROS),
            state: State::Closed,
            consecutive_failures: 0,
            consecutive_openings: 0,
            generation: 0,
            probe_timeout_micros,
        }
    }

    /// Returns the state.
    #[must_use]
    pub const fn state(&self) -> State {
        self.state
    }

    /// Returns whether a call would be refused now.
    #[must_use]
    pub fn refuses(&self, now: Time) -> bool {
        match self.state {
            State::Closed => false,
            State::Open { until } | State::HalfOpen { until } => now < until,
        }
    }

    /// Admits a call, whose outcome the caller must report, or returns `None` if the call is
    /// refused.
    pub fn admit(&mut self, now: Time) -> Option<Permit> {
        if self.refuses(now) {
            return None;
        }
        let is_probe = self.state != State::Closed;
        if is_probe {
            // A probe whose caller was cancelled never reports an outcome; the next probe replaces
            // it.
            let until = now.plus_micros(self.probe_timeout_micros);
            self.transition_to(State::HalfOpen { until });
        }
        Some(Permit {
            generation: self.generation,
            is_probe,
        })
    }

    /// Records that the store responded. Returns whether this closed the breaker.
    pub fn record_success(&mut self, permit: Permit) -> bool {
        if permit.generation != self.generation {
            return false;
        }
        self.consecutive_failures = 0;
        self.consecutive_openings = 0;
        if self.state == State::Closed {
            return false;
        }
        self.transition_to(State::Closed);
        true
    }

    /// Records that the store did not respond; `random` is between 0.0 and 1.0. Returns whether
    /// this opened the breaker.
    pub fn record_failure(&mut self, permit: Permit, now: Time, random: f64) -> bool {
        if permit.generation != self.generation {
            return false;
        }
        self.consecutive_failures += 1;
        if self.state == State::Closed && self.consecutive_failures < FAILURES_TO_OPEN {
            return false;
        }
        let delay_micros = self.backoff.delay_micros(self.consecutive_openings, random);
        self.consecutive_openings = self.consecutive_openings.saturating_add(1);
        self.consecutive_failures = 0;
        self.transition_to(State::Open {
            until: now.plus_micros(delay_micros),
        });
        true
    }

    fn transition_to(&mut self, state: State) {
        self.state = state;
        self.generation += 1;
    }
}
