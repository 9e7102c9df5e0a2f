//! Queries and notifications to the owner.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use toucanquay_model::graph::Id;

use super::Change;

/// A query or notification. Notifications only reduce latency: the owner also reads the same
/// information from the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// Queries the state of a job.
    State(Id),
    /// Queries the number of jobs of a queue that have not started.
    Pending(String),
    /// Notifies the owner that a job has been written durably.
    Accepted {
        /// Identifier that the client chose for the job.
        id: Id,
        /// Record of the job in the store.
        record: Bytes,
    },
    /// Notifies the owner that the cancellation of a job has been written durably.
    Cancelled(Id),
    /// Changes the stored jobs on behalf of an entry that cannot reach the store.
    Change {
        /// Change that a client of that entry asks for.
        change: Change,
        /// Time left for the operation, in milliseconds.
        within_ms: u64,
    },
    /// Asks an entry whether it is ready to become the owner.
    IsReady,
    /// Asks an entry for its configuration if it is newer than the one that the sender has.
    Configuration {
        /// Version of the sender's configuration, if it has one.
        known_version: Option<u64>,
    },
}
