//! Changes of the stored jobs, made in the store either directly or through the owner.

use slog::info;
use tokio::time::{Duration, Instant, sleep};
use toucanquay_model::{Error, ErrorKind, Revision, graph::Id};
use toucanquay_wire::{
    Frame,
    graph::{Change, Outcome, Query, Reply},
};

use super::{Shared, takeover, withdrawal::Withdrawal};
use crate::{
    key,
    store::{Commit, Item, Transaction},
};

/// Timeout of one call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of one attempt through the owner.
const OWNER_TIMEOUT: Duration = Duration::from_millis(700);

/// Part of the timeout reserved for the owner's response to arrive, in milliseconds.
const RESPONSE_MARGIN_MS: u64 = 50;

/// Minimum time for another round of attempts. A shorter one could time out without a response and
/// turn a write that was rejected in all earlier rounds into one with an unknown outcome.
const ATTEMPT_TIMEOUT_MIN: Duration = Duration::from_millis(200);

/// Minimum and maximum delay between rounds of attempts.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(60);
const RETRY_DELAY_MAX: Duration = Duration::from_millis(240);

/// Makes a change, through the owner if this process can't reach the store.
///
/// # Errors
///
/// [`ErrorKind::StoreUnavailable`] if nothing was written, [`ErrorKind::OutcomeUnknown`] if that
/// isn't known by the deadline, [`ErrorKind::Overloaded`] if nothing was written and another attempt
/// would not be served in time.
pub(super) async fn apply(
    shared: &Shared,
    change: &Change,
    deadline: Instant,
) -> Result<Outcome, Error> {
    let mut is_unknown = false;
    let mut retry_delay = RETRY_DELAY_MIN;
    let mut round = 0;
    loop {
        round += 1;
        let error = match apply_in_store(shared, change, deadline).await {
            Ok(outcome) => return Ok(outcome),
            Err(error) if error.kind() == ErrorKind::Overloaded && !is_unknown => {
                return Err(error);
            }
            Err(error) => error,
        };
        is_unknown |= may_have_succeeded(&error);
        let owner_error = match apply_through_owner(shared, change, deadline).await {
            Ok(outcome) => {
                info!(shared.log, "written_by_owner"; "job" => %change.id(), "cause" => %error);
                return Ok(outcome);
            }
            Err(owner_error) => owner_error,
        };
        is_unknown |= may_have_succeeded(&owner_error);
        let is_last = Instant::now() + retry_delay + ATTEMPT_TIMEOUT_MIN >= deadline;
        if round == 1 || is_last {
            info!(shared.log, "write_failed"; "job" => %change.id(), "round" => round,
                "store" => %error, "owner" => %owner_error, "is_unknown" => is_unknown,
                "is_last" => is_last);
        }
        if is_last {
            let kind = if is_unknown {
                ErrorKind::OutcomeUnknown
            } else {
                ErrorKind::StoreUnavailable
            };
            return Err(Error::new(kind).context(error));
        }
        sleep(retry_delay).await;
        retry_delay = (retry_delay * 2).min(RETRY_DELAY_MAX);
    }
}

/// Makes a change in one direct attempt at the store.
///
/// # Errors
///
/// Returns the store's error, or [`ErrorKind::Overloaded`] if too many cancellations are waiting.
pub(super) async fn apply_in_store(
    shared: &Shared,
    change: &Change,
    deadline: Instant,
) -> Result<Outcome, Error> {
    match change {
        Change::Submit { id, record } => submit(shared, *id, record, deadline).await,
        Change::Cancel(id) => cancel(shared, *id, deadline).await,
    }
}

async fn submit(
    shared: &Shared,
    id: Id,
    record: &[u8],
    deadline: Instant,
) -> Result<Outcome, Error> {
    let key = key::job(id);
    let transaction = Transaction::default()
        .expect_revision(key.clone(), 0)
        .put(key.clone(), record);
    let deadline = call_deadline(deadline);
    match shared.store.commit(transaction, deadline).await? {
        Commit::Done(_) => Ok(Outcome::Accepted),
        Commit::Conflict { items, .. } => {
            let current = items.iter().find(|item| item.key == key);
            current_outcome(current.ok_or_else(unreadable_record)?)
        }
    }
}

/// Returns the outcome of a submission whose identifier is in use.
fn current_outcome(item: &Item) -> Result<Outcome, Error> {
    if takeover::parse_accepted_job(item).is_some() {
        // The job of an earlier attempt, or of another request with this identifier.
        return Ok(Outcome::Accepted);
    }
    if item.value.is_empty() {
        return Err(unreadable_record());
    }
    // A withdrawal, or a record that no owner runs. The key is in use, so nothing is stored.
    Ok(Outcome::Withdrawn)
}

fn unreadable_record() -> Error {
    Error::new(ErrorKind::Protocol).context("the record of the job can't be read")
}

/// Cancels the stored job or, if there is none, writes a [`Withdrawal`] in its place.
async fn cancel(shared: &Shared, id: Id, deadline: Instant) -> Result<Outcome, Error> {
    let key = key::job(id);
    while Instant::now() < deadline {
        let found = shared.store.get(&key, call_deadline(deadline)).await?;
        let Some(item) = found else {
            if shared.withdrawals.withdraw(id, deadline).await? {
                return Ok(Outcome::Withdrawn);
            }
            // A job was stored meanwhile.
            continue;
        };
        if Withdrawal::is_in(&item.value) || takeover::parse_accepted_job(&item).is_none() {
            return Ok(Outcome::Withdrawn);
        }
        if create_cancellation(shared, id, item.revision, deadline).await? {
            return Ok(Outcome::Cancelled);
        }
        // The job was removed meanwhile.
    }
    Err(Error::new(ErrorKind::OutcomeUnknown).context("no outcome by the deadline"))
}

/// Writes the cancellation of the job that was stored at a revision. Returns `false` if it isn't
/// stored any more, so that a delayed cancellation doesn't outlast its job.
async fn create_cancellation(
    shared: &Shared,
    id: Id,
    job_revision: Revision,
    deadline: Instant,
) -> Result<bool, Error> {
    let key = key::cancel(id);
    let transaction = Transaction::default()
        .expect_revision(key::job(id), job_revision)
        .expect_revision(key.clone(), 0)
        .put(key.clone(), []);
    let deadline = call_deadline(deadline);
    match shared.store.commit(transaction, deadline).await? {
        Commit::Done(_) => Ok(true),
        Commit::Conflict { unreadable, .. } if unreadable.contains(&key) => {
            Err(Error::new(ErrorKind::Protocol).context("the cancellation can't be read"))
        }
        Commit::Conflict { items, .. } => Ok(items.iter().any(|item| item.key == key)),
    }
}

/// Returns the deadline of one call to the store.
fn call_deadline(deadline: Instant) -> Instant {
    deadline.min(Instant::now() + STORE_TIMEOUT)
}

async fn apply_through_owner(
    shared: &Shared,
    change: &Change,
    deadline: Instant,
) -> Result<Outcome, Error> {
    let owner = shared
        .owner()
        .ok_or_else(|| Error::new(ErrorKind::NoOwner))?;
    if owner.address == shared.settings.listen {
        return Err(Error::new(ErrorKind::NoOwner).context("this process is the owner"));
    }
    let deadline = deadline.min(Instant::now() + OWNER_TIMEOUT);
    let remaining = deadline.saturating_duration_since(Instant::now());
    let within_ms = u64::try_from(remaining.as_millis()).unwrap_or(0);
    let query = Query::Change {
        change: change.clone(),
        within_ms: within_ms.saturating_sub(RESPONSE_MARGIN_MS),
    };
    let frame = Frame::Graph(query);
    match shared.pool.call(owner.address, &frame, deadline).await? {
        Frame::GraphReply(Reply::Changed(outcome)) => Ok(outcome),
        _ => Err(Error::new(ErrorKind::Protocol).context("unexpected frame")),
    }
}

/// Returns whether a failed attempt may still have written something.
fn may_have_succeeded(error: &Error) -> bool {
    !matches!(
        error.kind(),
        ErrorKind::StoreUnavailable
            | ErrorKind::NoOwner
            | ErrorKind::PeerUnavailable
            | ErrorKind::Overloaded
    )
}
