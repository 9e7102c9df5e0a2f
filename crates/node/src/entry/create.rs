//! Creates keys in the store, directly or through the owner.

use bytes::Bytes;
use slog::info;
use tokio::time::{Duration, Instant, sleep};
use toucanquay_model::{Error, ErrorKind};
use toucanquay_wire::{
    Frame,
    graph::{Query, Reply},
};

use super::Shared;
use crate::store::{Commit, Transaction};

/// Time for one attempt at the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for one attempt through the owner.
const OWNER_TIMEOUT: Duration = Duration::from_millis(700);

/// Time that the owner leaves for the answer's way, in milliseconds.
const RESPONSE_MARGIN_MS: u64 = 50;

/// Least time for one attempt. A shorter one would end without an answer, and a write that was
/// refused each time before would count as unknown.
const ATTEMPT_TIMEOUT_MIN: Duration = Duration::from_millis(200);

/// Shortest and longest pause after a round of attempts.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(60);
const RETRY_DELAY_MAX: Duration = Duration::from_millis(240);

/// Creates a key unless it exists, through the owner if the store can't be reached from here.
///
/// # Errors
///
/// [`ErrorKind::StoreUnavailable`] if nothing was done, [`ErrorKind::OutcomeUnknown`] if that
/// isn't known by the deadline.
pub(super) async fn create_key(
    shared: &Shared,
    key: &str,
    value: &[u8],
    deadline: Instant,
) -> Result<(), Error> {
    let mut is_unknown = false;
    let mut retry_delay = RETRY_DELAY_MIN;
    let mut round = 0;
    loop {
        round += 1;
        let direct_attempt = create_in_store(
            shared,
            key,
            value,
            deadline.min(Instant::now() + STORE_TIMEOUT),
        );
        let Err(error) = direct_attempt.await else {
            return Ok(());
        };
        is_unknown |= error.kind() != ErrorKind::StoreUnavailable;
        let Err(owner_error) = create_through_owner(shared, key, value, deadline).await else {
            info!(shared.log, "written_by_owner"; "key" => key, "cause" => %error);
            return Ok(());
        };
        is_unknown |= may_have_succeeded(&owner_error);
        let is_last = Instant::now() + retry_delay + ATTEMPT_TIMEOUT_MIN >= deadline;
        if round == 1 || is_last {
            info!(shared.log, "write_failed"; "key" => key, "round" => round, "store" => %error,
                "owner" => %owner_error, "is_unknown" => is_unknown, "is_last" => is_last);
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

/// Creates a key unless it exists, in one attempt at the store.
///
/// # Errors
///
/// The store's error.
pub(super) async fn create_in_store(
    shared: &Shared,
    key: &str,
    value: &[u8],
    deadline: Instant,
) -> Result<(), Error> {
    let transaction = Transaction::default()
        .expect_revision(key, 0)
        .put(key, value);
    match shared.store.commit(transaction, deadline).await? {
        // A key that exists was created by an earlier attempt.
        Commit::Done(_) | Commit::Conflict(_) => Ok(()),
    }
}

async fn create_through_owner(
    shared: &Shared,
    key: &str,
    value: &[u8],
    deadline: Instant,
) -> Result<(), Error> {
    let owner = shared
        .owner()
        .ok_or_else(|| Error::new(ErrorKind::NoOwner))?;
    if owner.address == shared.settings.listen {
        return Err(Error::new(ErrorKind::NoOwner).context("this process is the owner"));
    }
    let deadline = deadline.min(Instant::now() + OWNER_TIMEOUT);
    let remaining = deadline.saturating_duration_since(Instant::now());
    let within_ms = u64::try_from(remaining.as_millis()).unwrap_or(0);
    let query = Query::Create {
        key: key.to_owned(),
        value: Bytes::copy_from_slice(value),
        within_ms: within_ms.saturating_sub(RESPONSE_MARGIN_MS),
    };
    let frame = Frame::Graph(query);
    match shared.pool.call(owner.address, &frame, deadline).await? {
        Frame::GraphReply(Reply::Created) => Ok(()),
        _ => Err(Error::new(ErrorKind::Protocol).context("unexpected frame")),
    }
}

/// Tells whether an attempt through the owner may have been carried out.
fn may_have_succeeded(error: &Error) -> bool {
    !matches!(
        error.kind(),
        ErrorKind::StoreUnavailable | ErrorKind::NoOwner | ErrorKind::PeerUnavailable
    )
}
