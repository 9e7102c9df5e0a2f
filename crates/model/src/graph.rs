//! Jobs of several steps: what clients submit, and the names of their tasks.
//!
//! A [`Job`] is a graph of [`Step`]s. Each step has a number of like tasks, and starts when all
//! tasks of the steps before it are done. A job may run several times, once for each occurrence.

mod accepted_job;
mod id;
mod job;
mod place;
mod progress;
mod queue;
mod schedule;
mod state;
mod step;
mod task;
mod task_progress;

pub use accepted_job::AcceptedJob;
pub use id::Id;
pub use job::Job;
pub use place::Place;
pub use progress::Progress;
pub use queue::Queue;
pub use schedule::Schedule;
pub use state::State;
pub use step::Step;
pub use task::Task;
pub use task_progress::TaskProgress;
