//! Why an attempt was not started.

use serde::{Deserialize, Serialize};

/// Why an attempt was not started and never will be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Rejection {
    /// The worker drains or is gone.
    Draining,
    /// The order was meant for a former life of the worker, whose attempts the owner has given up.
    OtherLife,
    /// It would exceed the worker's capacity.
    NoRoom,
    /// Another attempt of the task is on the worker.
    SameTask,
    /// The lease had too little time left.
    LeaseOver,
    /// The worker refused it.
    Refused,
    /// It was stopped before it began.
    Stopped,
}
