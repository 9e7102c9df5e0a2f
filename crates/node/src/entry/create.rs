//! Creates keys in the store, either directly or through the owner.

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

/// Timeout of one direct attempt at the store.
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

/// Creates a key unless it exists, through the owner if this process can't reach the store.
///
/// # Errors
///
/// [`ErrorKind::StoreUnavailable`] if the key wasn't written, [`ErrorKind::OutcomeUnknown`] if that
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

/// Creates a key unless it exists, in one direct attempt at the store.
///
/// # Errors
///
/// Returns the store's error.
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
        // A conflict means that an earlier attempt created the key.
        Commit::Done(_) | Commit::Conflict { .. } => Ok(()),
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

/// Returns whether a failed attempt through the owner may still have written the key.
fn may_have_succeeded(error: &Error) -> bool {
    !matches!(
        error.kind(),
        ErrorKind::StoreUnavailable | ErrorKind::NoOwner | ErrorKind::PeerUnavailable
    )
}
