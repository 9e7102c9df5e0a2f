//! What follows from the arrival of a request.

use std::sync::Arc;

use super::Response;

/// What a companion does with a request that has arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Run it. The ledger counts it as running until it is told the outcome.
    Run,
    /// A request with this id is running.
    Running,
    /// It has run; this is its response.
    Replay(Arc<Response>),
    /// It has run, and its response was not kept.
    Finished,
    /// It was tombstoned. It has not run and never will.
    Tombstoned,
    /// It is meant for another incarnation. This one does not run it.
    WrongIncarnation,
    /// It may have run: its outcome is unknown, or it may be one that the ledger has forgotten.
    Unknown,
}
