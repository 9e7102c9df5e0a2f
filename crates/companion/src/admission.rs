//! Decides whether a request may run at the upstream.
//!
//! Admission is the final authority on slots and on request ids: whatever an entry believes, no
//! more requests run than there are slots, and no id runs twice.

mod controller;
mod decision;
mod permit;

pub use controller::AdmissionController;
pub use decision::Decision;
pub use permit::Permit;
