//! Head of a forwarded request.

use serde::{Deserialize, Serialize};
use toucanquay_model::{Incarnation, request};

/// Head of a request that an entry forwards to a companion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Identifies the request.
    pub id: request::Id,
    /// The companion's run that the request is meant for. Any other run refuses it.
    pub incarnation: Incarnation,
    /// Service that the request is for.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path and query at the upstream.
    pub target: String,
    /// Header fields, in order.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Time left when the head was sent, in microseconds; none for a watch.
    pub remaining_micros: Option<u64>,
    /// Whether the request carries an idempotency key, so that the companion keeps its answer.
    pub is_keyed: bool,
}
