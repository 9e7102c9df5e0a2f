//! Messages between a companion and the owner of its cell.

mod command;
mod report;
mod state;
mod usage;

pub use command::{Command, Grant, Stop, Throttle};
pub use report::{Report, TaskReport};
pub use state::{Refusal, TaskState};
pub use usage::{ServiceUsage, TaskUsage};
