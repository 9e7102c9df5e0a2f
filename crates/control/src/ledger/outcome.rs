//! How a request ended.

use super::Response;

/// How a request that had begun ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// No byte of it reached the upstream. The ledger forgets it, so it may be sent again.
    NotRun,
    /// The upstream gave its whole response, which is passed here when it is to be replayed.
    Complete(Option<Response>),
    /// The upstream may have run it, in whole or in part.
    Unknown,
}
