//! What an entry asks or tells the owner.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use toucanquay_model::graph::Id;

/// A question or a notice. Notices only hasten what the owner reads in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// What is the state of a job?
    State(Id),
    /// How many jobs of a queue have not begun?
    Pending(String),
    /// A job is durable; this is its record in the store.
    Accepted {
        /// The job.
        id: Id,
        /// The record.
        record: Bytes,
    },
    /// A job's cancellation is durable.
    Cancelled(Id),
    /// Create a key in the store on behalf of an entry that can't reach it.
    Create {
        /// The key.
        key: String,
        /// Its value.
        value: Bytes,
        /// Time that is left for it, in milliseconds.
        within_ms: u64,
    },
}
