//! Decisions on arriving requests.

use std::sync::Arc;

use super::Response;

/// The ledger's decision on a request that has arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Run it. The ledger counts the request as running until its outcome is recorded.
    Run,
    /// It is already running.
    Running,
    /// It has finished, and this is its response.
    Replay(Arc<Response>),
    /// It has finished, and its response was not retained.
    Finished,
    /// It was tombstoned: it has not run and never will.
    Tombstoned,
    /// It is addressed to another incarnation, so this one does not run it.
    WrongIncarnation,
    /// It may have run: its outcome is unknown, or its record may have been removed.
    Unknown,
}
