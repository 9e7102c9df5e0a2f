//! Idempotency keys.
//!
//! A claim in the store records which request runs for a key, and on which companion. It is written
//! before the request is sent, so that a repeat through any entry finds it.

mod keyed_forwarder;
mod lease;
mod record;

pub use keyed_forwarder::KeyedForwarder;
pub use lease::ClaimLease;
pub use record::ClaimRecord;
