//! Head of a forwarded response.

use serde::{Deserialize, Serialize};
use toucanquay_model::request;

/// Head of a response that a companion returns to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Identifies the request that this responds to.
    pub id: request::Id,
    /// HTTP status code.
    pub status: u16,
    /// Header fields, in order.
    pub headers: Vec<(String, Vec<u8>)>,
}
