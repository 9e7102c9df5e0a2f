//! What a fake companion does with a request.

use std::sync::Arc;

use tokio::sync::Notify;
use toucanquay_model::{ErrorKind, request::Verdict};

/// What a fake companion does with a request.
#[derive(Debug, Clone, Default)]
pub enum Behavior {
    /// Runs it and responds whole.
    #[default]
    Respond,
    /// Runs it and sends a response whose head has the id of another request.
    MismatchedHead,
    /// Runs it and ends the response with the id of another request.
    MismatchedEnd,
    /// Runs it and ends the response with a length that is one too large.
    WrongLength,
    /// Runs it and ends the stream without an end frame.
    MissingEnd,
    /// Runs it and responds after a permit was given.
    Hold(Arc<Notify>),
    /// Breaks every connection, and from then on gives this verdict on the request.
    BreakConnections(Verdict),
    /// Refuses it.
    Refuse(ErrorKind),
}
