//! Refusal of a request before it is sent.

use displaydoc::Display;

/// Retry hints are at least this long, in microseconds, so that a client does not spin.
const RETRY_AFTER_MICROS_MIN: u64 = 10_000;

/// Why a request is shed.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// the expected wait is too long for the deadline
    Overloaded,
    /// the deadline leaves no time for the request
    Deadline,
    /// no upstream of the service is available
    NoUpstream,
}

/// A request that is refused without having run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shed {
    /// Why it is refused.
    pub reason: Reason,
    /// Time after which a repeat may be accepted, in microseconds.
    pub retry_after_micros: u64,
}

impl Shed {
    /// Returns a refusal with a retry hint of `wait_micros`, raised to the shortest hint.
    #[must_use]
    pub fn new(reason: Reason, wait_micros: f64) -> Self {
        Self {
            reason,
            retry_after_micros: (wait_micros as u64).max(RETRY_AFTER_MICROS_MIN),
        }
    }
}
