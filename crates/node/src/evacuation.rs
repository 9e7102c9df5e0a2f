//! Requests of the operator to evacuate availability zones.

use tokio::time::Duration;

/// Location of the requests in the store, and the time within which they must be in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Source {
    /// Prefix of the keys. The name of the zone follows it. A key is a request as long as it exists,
    /// whatever its value is.
    pub prefix: String,
    /// Time after the acknowledgement of a request from which no task may be started in the zone.
    pub bound: Duration,
}
