//! Order and placement of batch tasks.
//!
//! [`Backlog`] holds the tasks that wait and knows those that run. [`Backlog::assign`] decides
//! which waiting tasks start where. The order is described in `docs/batch.md`.

mod assignment;
mod backlog;
mod fleet;
mod histogram;
mod job;
mod job_entry;
mod kind;
mod order;
mod outcome;
mod round;
mod run;
mod settings;
mod team;
mod unschedulable;
mod wait_reason;
mod worker_resources;

pub use assignment::Assignment;
pub use backlog::Backlog;
pub use job::Job;
pub use outcome::Outcome;
pub use settings::Settings;
pub use unschedulable::Unschedulable;
pub use wait_reason::WaitReason;
pub use worker_resources::WorkerResources;
