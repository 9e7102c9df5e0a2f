//! Retry budget as a share of requests.

/// Retries that each request earns. 0.1 bounds the extra load to a tenth when every request fails.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Maximum number of saved retries. It bounds the burst of retries after a long time without
/// failures.
const TOKENS_MAX: f64 = 50.0;

/// Initial number of saved retries. It allows the first failures of a service with little traffic
/// to be retried.
const TOKENS_AT_START: f64 = 5.0;

/// Token bucket that requests fill and retries drain.
///
/// # Examples
///
/// ```
/// use toucanquay_policy::retry::Budget;
///
/// let mut budget = Budget::default();
/// for _ in 0..10 {
///     budget.deposit();
/// }
/// assert!(budget.withdraw());
/// ```
#[derive(Debug, Clone)]
pub struct Budget {
    retries_per_request: f64,
    tokens: f64,
}

impl Budget {
    /// Creates a budget that earns `retries_per_request` retries for each request.
    #[must_use]
    pub const fn new(retries_per_request: f64) -> Self {
        Self {
            retries_per_request,
            tokens: TOKENS_AT_START,
        }
    }

    /// Returns the number of retries that are currently allowed.
    #[must_use]
    pub const fn allowed(&self) -> u32 {
        self.tokens as u32
    }

    /// Records the first attempt of a request, which earns its share of a retry.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.retries_per_request).min(TOKENS_MAX);
    }

    /// Withdraws one retry. Returns whether it is allowed.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}

impl Default for Budget {
    /// Creates a budget of one retry for ten requests.
    fn default() -> Self {
        Self::new(RETRIES_PER_REQUEST)
    }
}
