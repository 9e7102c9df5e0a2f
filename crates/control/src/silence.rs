//! Hosts that the owner doesn't hear, as it records them for its successors.
//!
//! A new owner waits for each host until its leases must have ended. It can't tell since when a host
//! has been silent, unless the former owner has recorded it. While a host may be named in the record,
//! no orders are sent to it, since they would extend its leases.

mod record;
mod tracker;
mod unreached;

pub use record::Record;
pub use tracker::Tracker;
pub use unreached::Unreached;
