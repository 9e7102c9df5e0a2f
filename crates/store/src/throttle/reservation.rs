//! Reservations of send times.

use toucanquay_model::Time;

/// A send time that a throttle has reserved for one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reservation {
    /// When to request the admission of the call.
    pub send_at: Time,
    /// Number of outages that had ended when the time was reserved.
    pub(super) recoveries: u64,
}
