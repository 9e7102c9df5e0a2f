//! Load shedding: refusal of a request before it is sent.

use displaydoc::Display;

/// Minimum retry hint, in microseconds. It keeps clients from retrying in a tight loop.
const RETRY_AFTER_MICROS_MIN: u64 = 10_000;

/// Reason for shedding a request.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// the expected wait is too long for the deadline
    Overloaded,
    /// the deadline leaves no time for the request
    Deadline,
    /// no upstream of the service is available
    NoUpstream,
}

/// Refusal of a request that has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shed {
    /// Reason for the refusal.
    pub reason: Reason,
    /// Time after which a retry may be accepted, in microseconds.
    pub retry_after_micros: u64,
}

impl Shed {
    /// Creates a refusal with a retry hint of `wait_micros`, but at least the minimum hint.
    #[must_use]
    pub fn new(reason: Reason, wait_micros: f64) -> Self {
        Self {
            reason,
            retry_after_micros: (wait_micros as u64).max(RETRY_AFTER_MICROS_MIN),
        }
    }
}
