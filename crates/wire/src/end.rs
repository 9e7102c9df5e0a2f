//! End of a body.

use serde::{Deserialize, Serialize};
use toucanquay_model::request;

/// Marks a request or an answer as complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Identifies the request.
    pub id: request::Id,
    /// Length of the whole body, in bytes.
    pub length: u64,
}
