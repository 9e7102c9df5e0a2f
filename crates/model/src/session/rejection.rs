//! Reasons for rejecting an attempt.

use serde::{Deserialize, Serialize};

/// Reason why an attempt was not started and never will be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Rejection {
    /// The worker is draining or gone.
    Draining,
    /// The order was for an earlier incarnation of the worker, whose attempts the owner regards as
    /// lost.
    OtherLife,
    /// The attempt would exceed the worker's capacity.
    NoRoom,
    /// Another attempt of the task is on the worker.
    SameTask,
    /// The remaining lease time was too short.
    LeaseOver,
    /// The worker's zone may have been evacuated since the order.
    Outdated,
    /// The worker refused to start the attempt.
    Refused,
    /// The attempt was stopped before it started.
    Stopped,
}
