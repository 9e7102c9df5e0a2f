//! Rejection of a request.

use toucanquay_model::Error;

/// Rejection of a request, with the time to retry after.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// Reason of the rejection.
    pub error: Error,
    /// Time to wait before a retry, in milliseconds, if known.
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
