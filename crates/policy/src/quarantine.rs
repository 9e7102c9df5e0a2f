//! Workers that fail every task, told apart from jobs that fail everywhere.
//!
//! [`Quarantine`] compares the outcomes of each worker over jobs and of each job over workers.

mod admission;
mod record;
mod settings;
mod stay;
mod ward;

pub use admission::Admission;
pub use settings::Settings;
pub use ward::Quarantine;
