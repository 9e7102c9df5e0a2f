//! Serialized content of a segment.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};
use toucanquay_model::{Epoch, Error, ErrorKind};

use super::{TaskSet, record::Record};
use toucanquay_model::job::{Id, Spec};

/// Content of a segment, stored under the key `cell/<n>/segment/<number>`.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct SegmentValue<'a> {
    /// Epoch of the owner that wrote the segment.
    pub(super) epoch: Epoch,
    pub(super) jobs: Vec<StoredJob<'a>>,
    pub(super) tasks: Vec<StoredTask<'a>>,
}

/// Durable state of a job.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct StoredJob<'a> {
    pub(super) spec: Cow<'a, Spec>,
    /// Position in the order of submission.
    pub(super) order: u64,
    #[serde(default, skip_serializing_if = "is_empty")]
    pub(super) finished: Cow<'a, TaskSet>,
    #[serde(default, skip_serializing_if = "is_empty")]
    pub(super) failed: Cow<'a, TaskSet>,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(super) is_cancelled: bool,
    #[serde(default)]
    pub(super) evictions: u32,
}

/// Durable record of a task that was evicted or has failed.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct StoredTask<'a> {
    pub(super) job: Cow<'a, Id>,
    pub(super) index: u32,
    pub(super) record: Cow<'a, Record>,
}

#[expect(clippy::ptr_arg, reason = "serde passes a reference to the field")]
fn is_empty(tasks: &Cow<'_, TaskSet>) -> bool {
    tasks.is_empty()
}

impl SegmentValue<'_> {
    pub(super) fn parse(text: &str) -> Result<Self, Error> {
        serde_json::from_str(text).map_err(|cause| {
            Error::new(ErrorKind::Protocol).context(format!("invalid segment: {cause}"))
        })
    }

    pub(super) fn to_text(&self) -> Result<String, Error> {
        serde_json::to_string(self).map_err(|cause| {
            Error::new(ErrorKind::Protocol).context(format!("cannot serialize segment: {cause}"))
        })
    }
}

/// Returns the content of a segment with its epoch raised to `epoch`. `None` stands for a segment
/// that does not exist yet.
///
/// Before it takes over, a new owner rewrites every segment in this way, conditional on the store
/// revision at which it read the segment: a concurrent write of the former owner then fails on its
/// revision. The new owner starts at number zero and ends by creating the first segment that does
/// not exist, because the former owner could create that one too. Each takeover thus adds one empty
/// segment.
///
/// # Errors
///
/// Returns [`ErrorKind::NoOwner`] if a newer owner has written the segment, and
/// [`ErrorKind::Protocol`] if the content is not valid.
pub fn raise_epoch(text: Option<&str>, epoch: Epoch) -> Result<String, Error> {
    let mut value = text.map_or_else(|| Ok(SegmentValue::default()), SegmentValue::parse)?;
    if value.epoch > epoch {
        return Err(Error::new(ErrorKind::NoOwner).context(format!(
            "the segment was written by newer epoch {}, not by epoch {epoch} or an older one",
            value.epoch
        )));
    }
    value.epoch = epoch;
    value.to_text()
}
