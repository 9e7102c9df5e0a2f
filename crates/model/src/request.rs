//! Requests.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies one request through all processes. An entry draws it at random.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(pub u128);

impl fmt::Display for Id {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// What a companion knows of a request that it was asked to tombstone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// It did not run, and this companion now refuses it for good.
    NotRun,
    /// It is running.
    Running,
    /// It ran to its end.
    Finished,
    /// The companion cannot tell, for example because it was restarted since.
    Unknown,
}
