//! Failure of a forwarded request.

use serde::{Deserialize, Serialize};
use toucanquay_model::{Error, request};

/// Reports why a request has no response, or why its response is incomplete.
///
/// The kind of the error determines whether the request was executed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Identifies the request.
    pub id: request::Id,
    /// Error that ended the request.
    pub error: Error,
}
