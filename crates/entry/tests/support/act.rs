//! What a fake companion does with a request.

use std::sync::Arc;

use tokio::sync::Notify;
use toucanquay_model::{ErrorKind, request::Verdict};

/// What a fake companion does with a request.
#[derive(Debug, Clone, Default)]
pub enum Act {
    /// Runs it and responds whole.
    #[default]
    Respond,
    /// Runs it and sends a response whose head has the id of another request.
    OtherHead,
    /// Runs it and ends the response with the id of another request.
    OtherEnd,
    /// Runs it and ends the response with a length that is one too large.
    OtherLength,
    /// Runs it and ends the stream without an end frame.
    NoEnd,
    /// Runs it and responds after a permit was given.
    Hold(Arc<Notify>),
    /// Breaks every connection, and from then on gives this verdict on the request.
    Cut(Verdict),
    /// Refuses it.
    Refuse(ErrorKind),
}
