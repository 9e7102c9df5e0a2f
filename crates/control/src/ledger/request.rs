//! Arriving requests.

use toucanquay_model::{Incarnation, request};

/// A request as the ledger sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Id of the request.
    pub id: request::Id,
    /// Incarnation of the companion that the request is addressed to.
    pub incarnation: Incarnation,
    /// Whether it has an idempotency key, so that its response is retained.
    pub is_keyed: bool,
}
