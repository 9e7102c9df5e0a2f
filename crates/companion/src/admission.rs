//! Admission control: decides whether a request may run at the upstream.
//!
//! Admission control is authoritative for slots and request ids. Entries may have stale state, but
//! no more requests run than there are slots, and no request id runs twice.

mod controller;
mod decision;
mod permit;

pub use controller::AdmissionController;
pub use decision::Decision;
pub use permit::Permit;
