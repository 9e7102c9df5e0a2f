//! Takeover of the role and of the cell's state.

use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::time::{Duration, Instant};
use toucanquay_control::cell::{self, Cell};
use toucanquay_model::{Epoch, Error, ErrorKind, Revision};
use toucanquay_store::{Expected, Item, Lease, PutOutcome};
use toucanquay_wire::heartbeat::Owner;

use crate::{Context, registry::Holder};

/// Maximum epoch that is taken for one that an entry has written.
const EPOCH_MAX: Epoch = Epoch::MAX / 2;

/// Maximum attempts to fence one segment. An attempt fails if the former owner writes the segment
/// concurrently.
const FENCE_ATTEMPTS_MAX: u32 = 5;

/// Value of the key `cell/<n>/owner`. The key is never deleted, so that epochs never repeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct EpochRecord {
    epoch: Epoch,
}

/// Result of a successful takeover.
#[derive(Debug)]
pub struct Takeover {
    /// State of the cell.
    pub cell: Cell,
    /// Lease that the role expires with.
    pub lease: Lease,
    /// Revision of each segment in the store.
    pub revisions: Vec<Revision>,
}

/// Tries to acquire the role. Returns `None` if another entry holds it.
///
/// # Errors
///
/// [`ErrorKind::StoreUnavailable`] and [`ErrorKind::OutcomeUnknown`] if the store does not respond,
/// [`ErrorKind::NoOwner`] if another entry has advanced the epoch concurrently.
pub async fn acquire(context: &Context) -> Result<Option<Takeover>, Error> {
    let started_at = Instant::now();
    let epoch_record = read_epoch_record(context).await?;
    let epoch = epoch_record.as_ref().map_or(0, |(epoch, _)| *epoch) + 1;
    let ttl = Duration::from_millis(context.settings.holder_lease_ms);
    let lease = context.store.grant(ttl).await?;
    let result = claim_role(
        context,
        lease,
        epoch,
        epoch_record.map(|(_, revision)| revision),
    )
    .await;
    if !matches!(result, Ok(Some(_))) {
        // The holder's key of a failed attempt would otherwise block every entry until the lease
        // expires.
        if let Err(error) = context.store.revoke(lease.id).await {
            warn!(context.log, "lease_revocation_failed"; "error" => %error);
        }
        return result;
    }
    context.set_owner(Owner {
        address: context.settings.peer_listen,
        epoch,
    });
    info!(context.log, "takeover_done"; "cell" => context.settings.cell, "epoch" => epoch,
        "took_us" => u64::try_from(started_at.elapsed().as_micros()).unwrap_or(u64::MAX));
    result
}

async fn claim_role(
    context: &Context,
    lease: Lease,
    epoch: Epoch,
    epoch_revision: Option<Revision>,
) -> Result<Option<Takeover>, Error> {
    if !claim_holder(context, lease, epoch).await? {
        return Ok(None);
    }
    advance_epoch(context, epoch, epoch_revision).await?;
    let (segments, revisions) = fence_segments(context, epoch).await?;
    let now = context.clock.now();
    let cell = Cell::takeover(cell::Settings::default(), epoch, &segments, now)?;
    Ok(Some(Takeover {
        cell,
        lease,
        revisions,
    }))
}

/// Returns the recorded epoch and the revision of the record.
///
/// In place of a value that can't be read, or that no epoch can follow, it returns the revision. An
/// epoch grows by one with each takeover, which is a write, so that it never exceeds the revision at
/// which it was written.
async fn read_epoch_record(context: &Context) -> Result<Option<(Epoch, Revision)>, Error> {
    let Some(item) = context.store.get(&epoch_key(context)).await? else {
        return Ok(None);
    };
    let parsed = serde_json::from_str::<EpochRecord>(&item.value);
    let epoch = match parsed {
        Ok(record) if record.epoch <= EPOCH_MAX => record.epoch,
        Ok(record) => {
            warn!(context.log, "epoch_too_high"; "epoch" => record.epoch);
            item.revision
        }
        Err(error) => {
            warn!(context.log, "epoch_unreadable"; "error" => %error);
            item.revision
        }
    };
    Ok(Some((epoch, item.revision)))
}

async fn claim_holder(context: &Context, lease: Lease, epoch: Epoch) -> Result<bool, Error> {
    let holder = Holder {
        entry: context.settings.name.clone(),
        address: context.settings.peer_listen,
        epoch,
    };
    let value = serde_json::to_string(&holder)
        .expect("serialization of plain data with string keys can't fail");
    let key = Holder::key(context.settings.cell);
    let put = context
        .store
        .put(&key, &value, Expected::Absent, Some(lease.id))
        .await?;
    Ok(matches!(put, PutOutcome::Stored(_)))
}

async fn advance_epoch(
    context: &Context,
    epoch: Epoch,
    epoch_revision: Option<Revision>,
) -> Result<(), Error> {
    let expected = epoch_revision.map_or(Expected::Absent, Expected::Revision);
    let value = serde_json::to_string(&EpochRecord { epoch })
        .expect("serialization of plain data can't fail");
    let key = epoch_key(context);
    match context.store.put(&key, &value, expected, None).await? {
        PutOutcome::Stored(_) => Ok(()),
        PutOutcome::Conflict(_) | PutOutcome::LeaseEnded => {
            Err(Error::new(ErrorKind::NoOwner).context("another entry has advanced the epoch"))
        }
    }
}

/// Rewrites every segment with the new epoch, so that later writes of the former owner fail.
async fn fence_segments(
    context: &Context,
    epoch: Epoch,
) -> Result<(Vec<(u32, String)>, Vec<Revision>), Error> {
    let mut segments = Vec::new();
    let mut revisions = Vec::new();
    loop {
        let number = u32::try_from(segments.len()).unwrap_or(u32::MAX);
        let (text, revision, existed) = fence_segment(context, number, epoch).await?;
        segments.push((number, text));
        revisions.push(revision);
        if !existed {
            return Ok((segments, revisions));
        }
    }
}

async fn fence_segment(
    context: &Context,
    number: u32,
    epoch: Epoch,
) -> Result<(String, Revision, bool), Error> {
    let key = segment_key(context.settings.cell, number);
    let mut item: Option<Item> = context.store.get(&key).await?;
    for _ in 0..FENCE_ATTEMPTS_MAX {
        let text = cell::raise_epoch(item.as_ref().map(|item| item.value.as_str()), epoch)?;
        let expected = item
            .as_ref()
            .map_or(Expected::Absent, |item| Expected::Revision(item.revision));
        match context.store.put(&key, &text, expected, None).await? {
            PutOutcome::Stored(revision) => return Ok((text, revision, item.is_some())),
            PutOutcome::Conflict(found) => item = found,
            PutOutcome::LeaseEnded => break,
        }
    }
    Err(Error::new(ErrorKind::NoOwner).context("segment kept changing while it was being fenced"))
}

/// Returns the key of a segment.
pub(super) fn segment_key(cell: u32, number: u32) -> String {
    format!("cell/{cell}/segment/{number}")
}

fn epoch_key(context: &Context) -> String {
    format!("cell/{}/owner", context.settings.cell)
}
