//! Rate limiting by a token bucket.

use toucanquay_model::Time;

/// Maximum debt up to which urgent calls are sent. The debt of ordinary calls is bounded by their
/// deadline, which is shorter, so only an excess of urgent calls themselves can be refused.
pub const URGENT_DEBT_MICROS_MAX: u64 = 10_000_000;

/// Token bucket that assigns send times to calls.
///
/// It holds up to one second's calls, so that a short burst is sent at once. Once the bucket is
/// empty, callers get increasingly later times, and are refused when theirs is past their deadline.
///
/// # Examples
///
/// ```
/// use toucanquay_model::Time;
/// use toucanquay_store::TokenBucket;
///
/// let now = Time::from_millis(5_000);
/// let mut bucket = TokenBucket::new(2, now);
/// assert_eq!(bucket.take(now, now), Some(now));
/// assert_eq!(bucket.take(now, now), Some(now));
/// assert_eq!(bucket.take(now, now), None);
/// assert_eq!(bucket.take(now, now.plus_millis(500)), Some(now.plus_millis(500)));
/// ```
#[derive(Debug, Clone)]
pub struct TokenBucket {
    interval_micros: u64,
    burst_micros: u64,
    /// When the bucket would be full again without further calls.
    full_at: Time,
}

impl TokenBucket {
    /// Creates a full bucket for `calls_per_second`, which is raised to at least 1.
    #[must_use]
    pub fn new(calls_per_second: u32, now: Time) -> Self {
        let interval_micros = 1_000_000 / u64::from(calls_per_second.clamp(1, 1_000_000));
        Self {
            interval_micros,
            burst_micros: interval_micros * u64::from(calls_per_second.max(1)),
            full_at: now,
        }
    }

    /// Takes a token and returns when the call may be sent. Returns `None` and takes no token when
    /// that is after `latest`.
    pub fn take(&mut self, now: Time, latest: Time) -> Option<Time> {
        let full_at = self.full_at.max(now).plus_micros(self.interval_micros);
        let wait_micros = full_at.micros_since(now.plus_micros(self.burst_micros));
        let send_at = now.plus_micros(wait_micros);
        if send_at > latest {
            return None;
        }
        self.full_at = full_at;
        Some(send_at)
    }

    /// Takes a token for a call that must not queue behind others, such as the keep-alive of a
    /// lease, and returns whether it may be sent now. Later calls wait for the token that it
    /// borrows.
    ///
    /// The call is refused when the debt would exceed [`URGENT_DEBT_MICROS_MAX`].
    pub fn take_urgent(&mut self, now: Time) -> bool {
        let full_at = self.full_at.max(now).plus_micros(self.interval_micros);
        let debt_micros = full_at.micros_since(now.plus_micros(self.burst_micros));
        if debt_micros > URGENT_DEBT_MICROS_MAX {
            return false;
        }
        self.full_at = full_at;
        true
    }

    /// Empties the bucket, so that calls are sent one interval apart from now on.
    ///
    /// After an outage every client has a full bucket, and all clients would send their bursts at
    /// the same moment.
    pub fn drain(&mut self, now: Time) {
        self.full_at = self.full_at.max(now.plus_micros(self.burst_micros));
    }
}
