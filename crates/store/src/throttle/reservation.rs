//! A time to call at.

use toucanquay_model::Time;

/// Time that a throttle has reserved for one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reservation {
    /// When to ask for the call's admission.
    pub send_at: Time,
    /// Outages that had ended when the time was reserved.
    pub(super) recoveries: u64,
}
