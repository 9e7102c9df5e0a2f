//! Getting the role and the cell's state.

use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::time::{Duration, Instant};
use toucanquay_control::cell::{self, Cell};
use toucanquay_model::{Epoch, Error, ErrorKind, Revision};
use toucanquay_store::{Expected, Item, Lease, PutOutcome};
use toucanquay_wire::heartbeat::Owner;

use crate::{Context, registry::Holder};

/// Tries at one segment that a write of the former owner changes meanwhile.
const STAMP_TRIES: u32 = 5;

/// Value of the key `cell/<n>/owner`, which is never deleted, so that epochs never repeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Term {
    epoch: Epoch,
}

/// The role as this entry holds it after a takeover.
#[derive(Debug)]
pub struct Leadership {
    /// State of the cell.
    pub cell: Cell,
    /// The lease that the role ends with.
    pub lease: Lease,
    /// Revision of each segment in the store.
    pub revisions: Vec<Revision>,
}

/// Tries to get the role; returns `None` when another entry has it.
///
/// # Errors
///
/// [`ErrorKind::StoreUnavailable`] and [`ErrorKind::OutcomeUnknown`] when the store does not
/// answer, [`ErrorKind::NoOwner`] when another entry has raised the epoch meanwhile.
pub async fn acquire(context: &Context) -> Result<Option<Leadership>, Error> {
    let started_at = Instant::now();
    let term = read_term(context).await?;
    let epoch = term.as_ref().map_or(0, |(term, _)| term.epoch) + 1;
    let ttl = Duration::from_millis(context.settings.holder_lease_ms);
    let lease = context.store.grant(ttl).await?;
    let result = take(context, lease, epoch, term.map(|(_, revision)| revision)).await;
    if !matches!(result, Ok(Some(_))) {
        // Without this, the key of a failed try would keep the role vacant until the lease ends.
        if let Err(error) = context.store.revoke(lease.id).await {
            warn!(context.log, "lease_not_revoked"; "error" => %error);
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

async fn take(
    context: &Context,
    lease: Lease,
    epoch: Epoch,
    term: Option<Revision>,
) -> Result<Option<Leadership>, Error> {
    if !claim_holder(context, lease, epoch).await? {
        return Ok(None);
    }
    raise_term(context, epoch, term).await?;
    let (segments, revisions) = stamp_segments(context, epoch).await?;
    let now = context.clock.now();
    let cell = Cell::takeover(cell::Settings::default(), epoch, &segments, now)?;
    Ok(Some(Leadership {
        cell,
        lease,
        revisions,
    }))
}

async fn read_term(context: &Context) -> Result<Option<(Term, Revision)>, Error> {
    let Some(item) = context.store.get(&term_key(context)).await? else {
        return Ok(None);
    };
    let term = serde_json::from_str(&item.value).map_err(|cause| {
        Error::new(ErrorKind::Protocol)
            .field(item.key)
            .context(cause)
    })?;
    Ok(Some((term, item.revision)))
}

async fn claim_holder(context: &Context, lease: Lease, epoch: Epoch) -> Result<bool, Error> {
    let holder = Holder {
        entry: context.settings.name.clone(),
        address: context.settings.peer_listen,
        epoch,
    };
    let value = serde_json::to_string(&holder).expect("a holder is plain data with string keys");
    let key = Holder::key(context.settings.cell);
    let put = context
        .store
        .put(&key, &value, Expected::Absent, Some(lease.id))
        .await?;
    Ok(matches!(put, PutOutcome::Stored(_)))
}

async fn raise_term(context: &Context, epoch: Epoch, known: Option<Revision>) -> Result<(), Error> {
    let expected = known.map_or(Expected::Absent, Expected::Revision);
    let value = serde_json::to_string(&Term { epoch }).expect("a term is plain data");
    let key = term_key(context);
    match context.store.put(&key, &value, expected, None).await? {
        PutOutcome::Stored(_) => Ok(()),
        PutOutcome::Conflict(_) | PutOutcome::LeaseEnded => {
            Err(Error::new(ErrorKind::NoOwner).context("another entry has raised the epoch"))
        }
    }
}

/// Writes every segment back under the new epoch, so that a write of the former owner fails.
async fn stamp_segments(
    context: &Context,
    epoch: Epoch,
) -> Result<(Vec<(u32, String)>, Vec<Revision>), Error> {
    let mut segments = Vec::new();
    let mut revisions = Vec::new();
    loop {
        let number = u32::try_from(segments.len()).unwrap_or(u32::MAX);
        let (text, revision, existed) = stamp_segment(context, number, epoch).await?;
        segments.push((number, text));
        revisions.push(revision);
        if !existed {
            return Ok((segments, revisions));
        }
    }
}

async fn stamp_segment(
    context: &Context,
    number: u32,
    epoch: Epoch,
) -> Result<(String, Revision, bool), Error> {
    let key = segment_key(context.settings.cell, number);
    let mut item: Option<Item> = context.store.get(&key).await?;
    for _ in 0..STAMP_TRIES {
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
    Err(Error::new(ErrorKind::NoOwner).context("a segment changed again and again"))
}

/// Returns the key of a segment.
pub(super) fn segment_key(cell: u32, number: u32) -> String {
    format!("cell/{cell}/segment/{number}")
}

fn term_key(context: &Context) -> String {
    format!("cell/{}/owner", context.settings.cell)
}
