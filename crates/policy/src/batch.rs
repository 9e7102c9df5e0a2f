//! Order and placement of batch tasks.
//!
//! [`Backlog`] queues waiting tasks and tracks running ones. [`Backlog::assign`] selects the tasks
//! to start and a worker for each. `docs/batch.md` describes the scheduling order.

mod assignment;
mod backlog;
mod fleet;
mod groups;
mod histogram;
mod job;
mod job_entry;
mod kind;
mod long_tasks;
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
