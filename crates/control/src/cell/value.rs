//! Content of one segment in the store.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};
use toucanquay_model::{Epoch, Error, ErrorKind};

use super::{TaskSet, record::Record};
use toucanquay_model::job::{Id, Spec};

/// Content of one segment: the value of the store key `cell/<n>/segment/<number>`.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct SegmentValue<'a> {
    /// Epoch of the owner that wrote it.
    pub(super) epoch: Epoch,
    pub(super) jobs: Vec<StoredJob<'a>>,
    pub(super) tasks: Vec<StoredTask<'a>>,
}

/// What is durable of a job.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct StoredJob<'a> {
    pub(super) spec: Cow<'a, Spec>,
    /// Place in the order of submission.
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

/// What is durable of one task that was evicted or has failed.
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
        serde_json::from_str(text)
            .map_err(|cause| Error::new(ErrorKind::Protocol).context(format!("segment: {cause}")))
    }

    pub(super) fn to_text(&self) -> Result<String, Error> {
        serde_json::to_string(self)
            .map_err(|cause| Error::new(ErrorKind::Protocol).context(format!("segment: {cause}")))
    }
}

/// Returns the content of a segment with the epoch raised to `epoch`; `None` stands for a segment
/// that does not exist yet.
///
/// A new owner writes every segment back in this way, under the revision at which it read it,
/// before it takes over: a write of the old owner then fails on the revision. It goes through the
/// numbers from zero and ends by creating the first one that does not exist, because the old owner
/// could create that one too. One empty segment is added by each takeover.
///
/// # Errors
///
/// [`ErrorKind::NoOwner`] when a newer owner has written the segment, [`ErrorKind::Protocol`] when
/// the content is not valid.
pub fn raise_epoch(text: Option<&str>, epoch: Epoch) -> Result<String, Error> {
    let mut value = text.map_or_else(|| Ok(SegmentValue::default()), SegmentValue::parse)?;
    if value.epoch > epoch {
        return Err(Error::new(ErrorKind::NoOwner).context(format!(
            "epoch {} has taken over from epoch {epoch}",
            value.epoch
        )));
    }
    value.epoch = epoch;
    value.to_text()
}
