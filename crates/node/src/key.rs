//! Store keys and their prefixes.

use toucanquay_model::graph::Id;

/// Prefix of accepted jobs and cancellations, written by any entry.
pub const INTAKE: &str = "tq/in/";

/// Prefix of accepted jobs.
pub const JOBS: &str = "tq/in/job/";

/// Prefix of cancellations.
pub const CANCELS: &str = "tq/in/cancel/";

/// Prefix of job progress records, written only by the owner.
pub const PROGRESS: &str = "tq/progress/";

/// Prefix of the registrations of companions.
pub const HOSTS: &str = "tq/host/";

/// Key of the hosts that the owner doesn't hear, written only by the owner.
pub const SILENT_HOSTS: &str = "tq/silent";

/// Prefix of the registrations of entries.
pub const ENTRIES: &str = "tq/entry/";

/// Key of the current owner. Its value changes with each renewal.
pub const OWNER: &str = "tq/owner";

/// Key of the owner's epoch, used as a fencing token: it changes only at a takeover, and each write
/// of an owner is conditional on its revision.
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

/// Returns the key of a job's progress record.
#[must_use]
pub fn progress(id: Id) -> String {
    format!("{PROGRESS}{id}")
}

/// Returns the key of a companion's registration.
#[must_use]
pub fn host(name: &str) -> String {
    format!("{HOSTS}{name}")
}

/// Returns the key of an entry's registration.
#[must_use]
pub fn entry(name: &str) -> String {
    format!("{ENTRIES}{name}")
}
