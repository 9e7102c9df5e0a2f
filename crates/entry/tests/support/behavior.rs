//! Behavior of a fake companion.

use std::sync::Arc;

use tokio::sync::Notify;
use toucanquay_model::{ErrorKind, request::Verdict};

/// How a fake companion handles a request.
#[derive(Debug, Clone, Default)]
pub enum Behavior {
    /// Runs it and sends a complete response.
    #[default]
    Respond,
    /// Runs it and sends a response head with the id of another request.
    MismatchedHead,
    /// Runs it and sends an end frame with the id of another request.
    MismatchedEnd,
    /// Runs it and sends an end frame with a length that is too large by one.
    WrongLength,
    /// Runs it and closes the stream without an end frame.
    MissingEnd,
    /// Runs it and responds once notified.
    Hold(Arc<Notify>),
    /// Breaks all connections, then returns this verdict on the request.
    BreakConnections(Verdict),
    /// Refuses it.
    Refuse(ErrorKind),
}
