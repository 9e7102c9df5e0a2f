//! Identifier of a task.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use super::Id;
use crate::{Error, ErrorKind};

/// Identifies one task of a step in one occurrence of its job.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Task {
    /// Identifier that the client chose for the job.
    pub job: Id,
    /// Zero-based occurrence of the job.
    pub occurrence: u32,
    /// Zero-based index of the step.
    pub step: u16,
    /// Zero-based index of the task within the step.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(formatter, "{job}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for Task {
    type Err = Error;

    /// # Errors
    ///
    /// [`ErrorKind::InvalidField`] unless the text is `job.occurrence.step.index`.
    fn from_str(text: &str) -> Result<Self, Error> {
        parse(text).ok_or_else(|| {
            Error::new(ErrorKind::InvalidField)
                .field("task")
                .value(text)
                .expected("job.occurrence.step.index")
        })
    }
}

fn parse(text: &str) -> Option<Task> {
    let mut parts = text.split('.');
    let task = Task {
        job: parts.next()?.parse().ok()?,
        occurrence: parts.next()?.parse().ok()?,
        step: parts.next()?.parse().ok()?,
        index: parts.next()?.parse().ok()?,
    };
    parts.next().is_none().then_some(task)
}
