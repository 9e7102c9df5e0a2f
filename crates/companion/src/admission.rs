//! Decides whether a request may run at the upstream.
//!
//! Admission is the final authority on slots and on request ids: whatever an entry believes, no
//! more requests run than there are slots, and no id runs twice.

mod entered;
mod gate;
mod permit;

pub use entered::Entered;
pub use gate::Admission;
pub use permit::Permit;
