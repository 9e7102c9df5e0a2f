//! Job graphs as submitted by clients, and the identifiers of their tasks.
//!
//! A [`Job`] is a directed acyclic graph of [`Step`]s. A step consists of identical tasks, which
//! start when all tasks of the steps that it depends on are done. A job runs once for each
//! occurrence of its schedule.

mod accepted_job;
mod id;
mod job;
mod place;
mod place_range;
mod progress;
mod queue;
mod schedule;
mod state;
mod step;
mod task;
mod task_progress;

pub use accepted_job::AcceptedJob;
pub use id::Id;
pub use job::{Job, STEPS_MAX};
pub use place::Place;
pub use progress::Progress;
pub use queue::Queue;
pub use schedule::Schedule;
pub use state::State;
pub use step::Step;
pub use task::Task;
pub use task_progress::TaskProgress;
