//! A request that gets no upstream.

use toucanquay_model::Error;

/// A request that gets no upstream now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// Why.
    pub error: Error,
    /// When to retry, in milliseconds, where that is known.
    pub retry_after_ms: Option<u64>,
}

impl From<Error> for Rejection {
    fn from(error: Error) -> Self {
        Self {
            error,
            retry_after_ms: None,
        }
    }
}
