//! Control state machines without I/O: cell ownership, task leases, job graphs, request ledger,
//! configuration and membership.
//!
//! Each state machine takes events and the current time, and returns the actions to perform.
//!
//! Jobs of identical tasks are run by [`cell`] at the owner and [`agent`] in the companion, job
//! graphs by [`scheduler`] at the owner and [`runner`] in the companion.

pub mod agent;
pub mod cell;
pub mod ledger;
pub mod register;
pub mod roster;
pub mod runner;
pub mod scheduler;
pub mod silence;
