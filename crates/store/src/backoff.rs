//! Exponential backoff.

/// Base delay, in microseconds: a few times the store's usual response time of milliseconds.
const BASE_MICROS: u64 = 20_000;

/// Exponential backoff with jitter.
///
/// The delay after n failures is uniformly distributed between half of `min(base * 2^n, max)` and
/// all of it. The random half spreads out clients that failed at the same time.
///
/// # Examples
///
/// ```
/// use toucanquay_store::Backoff;
///
/// let backoff = Backoff::new(1_000, 10_000);
/// assert_eq!(backoff.delay_micros(0, 0.0), 500);
/// assert_eq!(backoff.delay_micros(2, 0.5), 3_000);
/// assert_eq!(backoff.delay_micros(60, 0.0), 5_000);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    base_micros: u64,
    max_micros: u64,
}

impl Backoff {
    /// Creates a backoff whose delays grow from `base_micros` to at most `max_micros`.
    #[must_use]
    pub const fn new(base_micros: u64, max_micros: u64) -> Self {
        Self {
            base_micros,
            max_micros,
        }
    }

    /// Returns the delay after `failures` consecutive failures; `random` is between 0.0 and 1.0.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "a delay in microseconds is far below 2^53, and a random part is not negative"
    )]
    pub fn delay_micros(&self, failures: u32, random: f64) -> u64 {
        let factor = 1_u64.checked_shl(failures).unwrap_or(u64::MAX);
        let max_delay = self.base_micros.saturating_mul(factor).min(self.max_micros);
        let half = max_delay / 2;
        half + (half as f64 * random.clamp(0.0, 1.0)) as u64
    }
}

impl Default for Backoff {
    fn default() -> Self {
        Self::new(BASE_MICROS, 100 * BASE_MICROS)
    }
}
