//! Instruction to refuse a request.

use serde::{Deserialize, Serialize};
use toucanquay_model::{Incarnation, request};

/// Instructs a companion to refuse a request from now on unless it has started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tombstone {
    /// Identifies the request.
    pub id: request::Id,
    /// Incarnation of the companion that the request was sent to. Any other incarnation replies
    /// [`Verdict::Unknown`](request::Verdict::Unknown).
    pub incarnation: Incarnation,
}
