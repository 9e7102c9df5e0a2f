//! When not to call at all.

mod permit;
mod state;

use toucanquay_model::Time;

pub use permit::Permit;
pub use state::State;

use crate::Backoff;

/// Failures in a row that open the breaker. One lost answer among good ones must not do it.
const FAILURES_TO_OPEN: u32 = 5;

/// Longest time that the breaker stays open at first, in microseconds. The jitter takes up to half
/// of it away.
const OPEN_BASE_MICROS: u64 = 500_000;

/// Longest time that the breaker stays open at all, in microseconds. It bounds how late a client notices
/// the end of an outage.
const OPEN_MAX_MICROS: u64 = 5_000_000;

/// Circuit breaker: refuses calls after several failures in a row, and lets one probe through when
/// a growing, jittered time has passed.
///
/// A success of the probe closes it; a failure opens it for longer. Outcomes of calls that were
/// admitted before the last change of state are ignored.
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
    /// Number of the present state; a permit of an earlier one has no say any more.
    generation: u64,
    backoff: Backoff,
    probe_timeout_micros: u64,
}

impl CircuitBreaker {
    /// Returns a closed breaker whose probes are taken as lost after `probe_timeout_micros`.
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

    /// Tells whether a call would be refused now.
    #[must_use]
    pub fn refuses(&self, now: Time) -> bool {
        match self.state {
            State::Closed => false,
            State::Open { until } | State::HalfOpen { until } => now < until,
        }
    }

    /// Admits a call, whose outcome the caller reports, or returns `None`.
    pub fn admit(&mut self, now: Time) -> Option<Permit> {
        if self.refuses(now) {
            return None;
        }
        let is_probe = self.state != State::Closed;
        if is_probe {
            // A probe whose caller went away never reports; the next one then takes its place.
            let until = now.plus_micros(self.probe_timeout_micros);
            self.transition_to(State::HalfOpen { until });
        }
        Some(Permit {
            generation: self.generation,
            is_probe,
        })
    }

    /// Notes that the store answered. Returns whether this closed the breaker.
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

    /// Notes that the store did not answer; `random` is from 0.0 to 1.0. Returns whether this
    /// opened the breaker.
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
