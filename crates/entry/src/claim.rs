//! Idempotency keys.
//!
//! A claim in the store says which request runs for a key, and where. It is written before the
//! request is sent, so that a repeat through any entry finds it.

mod claims;
mod leases;
mod record;

pub use claims::Claims;
pub use leases::Leases;
pub use record::Record;
