//! Batch jobs.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Error, ErrorKind, Resources};

/// Longest job id, in bytes.
pub const NAME_LENGTH_MAX: usize = 64;

/// Most tasks of one job. It bounds the size of a job's completion record in the store.
pub const TASKS_MAX: u32 = 10_000;

/// Largest payload of a job, in bytes. Store values are limited to 1 MB.
pub const PAYLOAD_BYTES_MAX: usize = 16_384;

/// Name of a job, chosen by the client, so that a repeated submission is harmless.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub String);

impl From<&str> for Id {
    fn from(name: &str) -> Self {
        Self(name.to_owned())
    }
}

impl fmt::Display for Id {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// How urgently a job's tasks start.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Starts before all other work.
    Urgent,
    /// The usual urgency.
    #[default]
    Normal,
    /// Starts when nothing else waits.
    Idle,
}

/// What a client submits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Name of the job.
    pub id: Id,
    /// Team that owns the job and whose quota it counts against.
    pub team: String,
    /// Kind of batch work; interference is learned for each kind.
    pub kind: String,
    /// Number of tasks, at least one.
    pub tasks: u32,
    /// Declared demand of one task.
    pub demand: Resources,
    /// How urgently the tasks start.
    #[serde(default)]
    pub urgency: Urgency,
    /// Wall-clock deadline in milliseconds since the Unix epoch, if the job has one.
    #[serde(default)]
    pub finish_by_unix_ms: Option<u64>,
    /// Opaque text that the worker's task runtime receives.
    #[serde(default)]
    pub payload: String,
}

impl Spec {
    /// Checks the fields against their bounds.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidField`] names the first field that is out of bounds.
    pub fn check(&self) -> Result<(), Error> {
        check_name("id", &self.id.0)?;
        check_name("team", &self.team)?;
        check_name("kind", &self.kind)?;
        if self.tasks == 0 || self.tasks > TASKS_MAX {
            return Err(Error::new(ErrorKind::InvalidField)
                .field("tasks")
                .value(self.tasks)
                .expected(format!("1 to {TASKS_MAX}")));
        }
        if self.demand == Resources::ZERO {
            return Err(Error::new(ErrorKind::InvalidField)
                .field("demand")
                .value(self.demand)
                .expected("at least one amount above zero"));
        }
        if self.payload.len() > PAYLOAD_BYTES_MAX {
            return Err(Error::new(ErrorKind::InvalidField)
                .field("payload")
                .value(format!("{} bytes", self.payload.len()))
                .expected(format!("at most {PAYLOAD_BYTES_MAX} bytes")));
        }
        Ok(())
    }
}

/// Checks that a name has 1 to 64 bytes out of letters, digits, `-`, `_` and `.`, and is neither
/// `.` nor `..`, which mean something else in the paths of keys and routes.
///
/// # Errors
///
/// [`ErrorKind::InvalidField`] with `field`, the value and what was expected.
pub fn check_name(field: &'static str, name: &str) -> Result<(), Error> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let is_dot_segment = matches!(name, "." | "..");
    let has_valid_length = (1..=NAME_LENGTH_MAX).contains(&name.len());
    if has_valid_length && !is_dot_segment && name.chars().all(is_allowed) {
        return Ok(());
    }
    Err(Error::new(ErrorKind::InvalidField)
        .field(field)
        .value(name)
        .expected("1 to 64 letters, digits, '-', '_' or '.'"))
}

/// Progress of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the job.
    pub id: Id,
    /// Team that owns it.
    pub team: String,
    /// Kind of batch work.
    pub kind: String,
    /// Number of tasks.
    pub tasks: u32,
    /// Tasks that wait for a worker.
    pub waiting: u32,
    /// Tasks that run.
    pub running: u32,
    /// Tasks that ran to their end.
    pub finished: u32,
    /// Tasks that failed for good.
    pub failed: u32,
    /// Times that a task of the job was evicted.
    pub evictions: u32,
    /// Whether the job was cancelled.
    pub is_cancelled: bool,
    /// Why no known worker can ever run its tasks, if that is so.
    pub unfit: Option<String>,
}

impl Status {
    /// Tells whether no task will run any more.
    #[must_use]
    pub const fn is_over(&self) -> bool {
        (self.is_cancelled && self.running == 0) || self.finished + self.failed == self.tasks
    }
}

/// What an entry asks of the owner of a cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Accept a job; the reply follows the durable write.
    Submit(Spec),
    /// List the jobs.
    List,
    /// Show one job.
    Show(Id),
    /// Cancel a job; the reply follows the durable write.
    Cancel(Id),
}

/// The owner's reply to a [`Call`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The job's status after the call.
    One(Status),
    /// All jobs, ordered by id.
    Many(Vec<Status>),
    /// The call was refused.
    Refused(Error),
}
