//! Batch jobs and the calls that manage them.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Error, ErrorKind, Resources};

/// Maximum length of a name, in bytes.
pub const NAME_LENGTH_MAX: usize = 64;

/// Maximum number of tasks of a job. It bounds the size of the job's completion record in the
/// store.
pub const TASKS_MAX: u32 = 10_000;

/// Maximum size of a job's payload, in bytes. Store values are limited to 1 MB.
pub const PAYLOAD_BYTES_MAX: usize = 16_384;

/// Name of a job. The client chooses it, which makes submissions idempotent.
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

/// Scheduling priority of a job's tasks.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Tasks start before all other work.
    Urgent,
    /// Default priority.
    #[default]
    Normal,
    /// Tasks start only when no other work is waiting.
    Idle,
}

/// Specification of a job, as submitted by a client.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Name of the job.
    pub id: Id,
    /// Team that owns the job. The job's resources count against the team's quota.
    pub team: String,
    /// Kind of batch work. Interference is learned separately for each kind.
    pub kind: String,
    /// Number of tasks, at least one.
    pub tasks: u32,
    /// Declared resource demand of one task.
    pub demand: Resources,
    /// Scheduling priority of the tasks.
    #[serde(default)]
    pub urgency: Urgency,
    /// Wall-clock deadline in milliseconds since the Unix epoch, if any.
    #[serde(default)]
    pub finish_by_unix_ms: Option<u64>,
    /// Opaque text passed to the worker's task runtime.
    #[serde(default)]
    pub payload: String,
}

impl Spec {
    /// Validates the fields against their bounds.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidField`] with the first field that is out of bounds.
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

/// Checks that a name consists of 1 to 64 letters, digits, `-`, `_` and `.`.
///
/// The names `.` and `..` are rejected because names become segments of store keys and URL paths,
/// where these have a special meaning.
///
/// # Errors
///
/// [`ErrorKind::InvalidField`] with `field` if the name is not valid.
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

/// Status of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the job.
    pub id: Id,
    /// Team that owns the job.
    pub team: String,
    /// Kind of batch work.
    pub kind: String,
    /// Number of tasks.
    pub tasks: u32,
    /// Number of tasks that are waiting for a worker.
    pub waiting: u32,
    /// Number of running tasks.
    pub running: u32,
    /// Number of completed tasks.
    pub finished: u32,
    /// Number of permanently failed tasks.
    pub failed: u32,
    /// Number of evictions of the job's tasks.
    pub evictions: u32,
    /// Whether the job was cancelled.
    pub is_cancelled: bool,
    /// Reason why no known worker can ever run the tasks, if that is the case.
    pub unfit: Option<String>,
}

impl Status {
    /// Returns whether no task of the job is running or will run again.
    #[must_use]
    pub const fn is_over(&self) -> bool {
        (self.is_cancelled && self.running == 0) || self.finished + self.failed == self.tasks
    }
}

/// A request about jobs from an entry to the owner of a cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Submit a job. The reply is sent after the job has been written durably.
    Submit(Spec),
    /// List all jobs.
    List,
    /// Show one job.
    Show(Id),
    /// Cancel a job. The reply is sent after the cancellation has been written durably.
    Cancel(Id),
}

/// The cell owner's reply to a [`Call`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Status of the job after the call.
    One(Status),
    /// Status of all jobs, ordered by id.
    Many(Vec<Status>),
    /// The call was refused.
    Refused(Error),
}
