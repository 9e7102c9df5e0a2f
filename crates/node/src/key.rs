//! Keys in the store.

use toucanquay_model::graph::Id;

/// Prefix of accepted jobs and cancellations, which entries write.
pub const INTAKE: &str = "tq/in/";

/// Prefix of accepted jobs.
pub const JOBS: &str = "tq/in/job/";

/// Prefix of cancellations.
pub const CANCELS: &str = "tq/in/cancel/";

/// Prefix of the records of jobs, which only the owner writes.
pub const PROGRESS: &str = "tq/progress/";

/// Prefix of the addresses of companions.
pub const HOSTS: &str = "tq/host/";

/// The owner; it changes with each renewal.
pub const OWNER: &str = "tq/owner";

/// The owner's epoch; it changes only at a takeover, and each write of an owner depends on it.
pub const FENCE: &str = "tq/fence";

/// Returns the key of an accepted job.
#[must_use]
pub fn job(id: Id) -> String {
    format!("{JOBS}{id}")
}

/// Returns the key of a cancellation.
#[must_use]
pub fn cancel(id: Id) -> String {
    format!("{CANCELS}{id}")
}

/// Returns the key of a job's record.
#[must_use]
pub fn progress(id: Id) -> String {
    format!("{PROGRESS}{id}")
}

/// Returns the key of a companion's address.
#[must_use]
pub fn host(name: &str) -> String {
    format!("{HOSTS}{name}")
}
