//! Host without a session.

use toucanquay_model::Time;

/// Host without a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unreached {
    /// Name of the host.
    pub host: String,
    /// Since when the owner has had no session to it.
    pub since: Time,
    /// Time by which its leases must have ended.
    pub lease_end: Time,
}
