//! Workers that fail every task, told apart from jobs that fail everywhere.
//!
//! [`Quarantine`] compares the outcomes of each worker over jobs and of each job over workers.

mod admission;
mod detection;
mod outcome_counts;
mod quarantined_worker;
mod settings;

pub use admission::Admission;
pub use detection::Quarantine;
pub use settings::Settings;
