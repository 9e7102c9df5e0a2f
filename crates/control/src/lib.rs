//! Control state machines without I/O: cell ownership, task leases, request ledger, configuration
//! and membership.
//!
//! Each state machine takes events and the current time, and returns the actions to perform.

pub mod agent;
pub mod cell;
pub mod ledger;
pub mod register;
pub mod roster;
pub mod runner;
pub mod scheduler;
