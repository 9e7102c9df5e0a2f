//! Control state machines without I/O: cell ownership, task leases, request ledger, configuration
//! and membership.
//!
//! Each machine takes events and the time, and gives back what is to be done.

pub mod agent;
pub mod cell;
pub mod ledger;
pub mod register;
pub mod roster;
pub mod runner;
pub mod scheduler;
