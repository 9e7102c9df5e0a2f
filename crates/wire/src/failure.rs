//! A request without a whole answer.

use serde::{Deserialize, Serialize};
use toucanquay_model::{Error, request};

/// Says why a request has no answer, or why its answer breaks off.
///
/// Whether it ran follows from the kind of the error.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Identifies the request.
    pub id: request::Id,
    /// The reason.
    pub error: Error,
}
