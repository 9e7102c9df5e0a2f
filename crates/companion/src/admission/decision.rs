//! Result of admission control for one request.

use std::sync::Arc;

use toucanquay_control::ledger::Response;
use toucanquay_model::Error;

use super::Permit;

/// Result of admission control for one request.
#[derive(Debug)]
pub enum Decision {
    /// The request may run while the permit is held.
    Run(Permit),
    /// The request has already run with this response, which is sent again.
    Replay(Arc<Response>),
    /// The request does not run now. The error kind tells whether an earlier send of it may have
    /// run.
    Refused(Error),
}
