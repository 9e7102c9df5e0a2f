//! What admission says of a request.

use std::sync::Arc;

use toucanquay_control::ledger::Response;
use toucanquay_model::Error;

use super::Permit;

/// What admission says of a request.
#[derive(Debug)]
pub enum Decision {
    /// It may run.
    Run(Permit),
    /// It has run before, with this response.
    Replay(Arc<Response>),
    /// It does not run now; the error's kind says what is known of an earlier send.
    Refused(Error),
}
