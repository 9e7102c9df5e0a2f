//! Detection of faulty workers and faulty jobs.
//!
//! [`Quarantine`] compares outcomes per worker across jobs and per job across workers, to tell
//! workers that fail every task from jobs that fail on every worker.

mod admission;
mod detection;
mod outcome_counts;
mod quarantined_worker;
mod settings;

pub use admission::Admission;
pub use detection::Quarantine;
pub use settings::Settings;
