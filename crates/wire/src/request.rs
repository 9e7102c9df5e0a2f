//! Head of a forwarded request.

use serde::{Deserialize, Serialize};
use toucanquay_model::{Incarnation, request};

/// Head of a request that an entry forwards to a companion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Identifies the request.
    pub id: request::Id,
    /// Incarnation of the companion that the request is for. Any other incarnation refuses it.
    pub incarnation: Incarnation,
    /// Service that the request is for.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path and query of the request to the upstream.
    pub target: String,
    /// Header fields, in order.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Time left until the deadline when the head was sent, in microseconds; `None` for a watch.
    pub remaining_micros: Option<u64>,
    /// Whether the request has an idempotency key, in which case the companion keeps its response.
    pub is_keyed: bool,
}
