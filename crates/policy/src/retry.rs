//! Budget for retries as a share of requests.

/// Retries that one request earns. A tenth bounds the extra load when every request fails.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Retries that can be saved up, so that a burst of failures after a long calm stays bounded.
const TOKENS_MAX: f64 = 50.0;

/// Retries at the start, so that the first failures of a quiet service can be retried.
const TOKENS_AT_START: f64 = 5.0;

/// Token bucket that requests fill and retries empty.
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
    /// Returns a budget of `retries_per_request` retries for each request.
    #[must_use]
    pub const fn new(retries_per_request: f64) -> Self {
        Self {
            retries_per_request,
            tokens: TOKENS_AT_START,
        }
    }

    /// Returns the retries that are allowed now.
    #[must_use]
    pub const fn allowed(&self) -> u32 {
        self.tokens as u32
    }

    /// Counts a first send.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.retries_per_request).min(TOKENS_MAX);
    }

    /// Takes one retry, and tells whether it is allowed.
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
    /// Returns a budget of one retry for ten requests.
    fn default() -> Self {
        Self::new(RETRIES_PER_REQUEST)
    }
}
