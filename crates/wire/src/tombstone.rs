//! Order to refuse a request.

use serde::{Deserialize, Serialize};
use toucanquay_model::{Incarnation, request};

/// Asks a companion to refuse a request for good unless it has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tombstone {
    /// Identifies the request.
    pub id: request::Id,
    /// The companion's run that the request was sent to. Any other run answers "unknown".
    pub incarnation: Incarnation,
}
