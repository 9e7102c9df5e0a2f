//! End of a message body.

use serde::{Deserialize, Serialize};
use toucanquay_model::request;

/// Marks a request or response as complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Identifies the request.
    pub id: request::Id,
    /// Total length of the body, in bytes.
    pub length: u64,
}
