//! Outcomes of requests.

use super::Response;

/// How a request that had begun ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// No byte of it reached the upstream. The ledger removes its record, so it may be sent again.
    NotRun,
    /// The upstream returned a complete response, which is passed here if it may be replayed.
    Complete(Option<Response>),
    /// The upstream may have run the request, completely or in part.
    Unknown,
}
