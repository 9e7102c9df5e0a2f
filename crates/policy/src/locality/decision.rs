//! Whether tasks wait for a near place.

use super::{Patience, Reason};

/// What becomes of tasks for which no near place is free.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// They wait for a near place until a deadline.
    Wait(Patience),
    /// They start wherever there is room.
    Far(Reason),
}
