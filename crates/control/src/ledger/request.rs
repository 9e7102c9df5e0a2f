//! A request as the ledger sees it.

use toucanquay_model::{Incarnation, request};

/// What the ledger needs to know of an arriving request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Identifies the request.
    pub id: request::Id,
    /// Incarnation of the companion that the request is meant for.
    pub incarnation: Incarnation,
    /// Whether it has an idempotency key, so that its response is kept.
    pub is_keyed: bool,
}
