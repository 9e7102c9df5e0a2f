//! Stand-ins shared by the tests of the processes.

pub mod log;
pub mod memory;
