//! Removes stored jobs and withdrawals whose retention has ended.

use std::sync::Arc;

use slog::debug;
use tokio::{
    sync::mpsc,
    time::{Duration, Instant, sleep},
};
use toucanquay_model::{Error, Revision, graph::Id};

use super::{Shared, owner::Event};
use crate::{
    key,
    store::{Commit, Transaction},
};

/// Timeout of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Delay before a failed removal of withdrawals is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Minimum time between removals of withdrawals, which leaves the store to more urgent calls.
const REMOVAL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of identifiers in one transaction: a condition and three keys each and the
/// condition on the fence stay within [`Transaction::OPERATIONS_MAX`].
const BATCH_MAX: usize = (Transaction::OPERATIONS_MAX - 1) / 4;

/// Removes jobs that were stored at these revisions, and reports those that are gone to the owner,
/// which asks again for the others.
pub(super) async fn remove_jobs(
    shared: Arc<Shared>,
    mailbox: mpsc::Sender<Event>,
    fence: Revision,
    jobs: Vec<(Id, Revision)>,
) {
    for batch in jobs.chunks(BATCH_MAX) {
        match remove(&shared, fence, batch).await {
            Ok(Some(remaining)) => {
                let removed = batch.iter().filter(|job| !remaining.contains(job));
                // Sending fails only if the owner has stopped.
                let _ = mailbox
                    .send(Event::JobsRemoved(removed.copied().collect()))
                    .await;
            }
            // Another owner has taken over and removes the jobs.
            Ok(None) => return,
            Err(error) => debug!(shared.log, "removal_failed"; "error" => %error),
        }
    }
}

/// Removes withdrawals that were written at these revisions. Retries until they are removed, unless
/// another owner takes over.
pub(super) async fn remove_withdrawals(
    shared: Arc<Shared>,
    fence: Revision,
    mut withdrawals: Vec<(Id, Revision)>,
) {
    while !withdrawals.is_empty() {
        let batch_len = withdrawals.len().min(BATCH_MAX);
        match remove(&shared, fence, &withdrawals[..batch_len]).await {
            Ok(Some(remaining)) => {
                withdrawals.splice(..batch_len, remaining);
            }
            Ok(None) => return,
            Err(error) => {
                debug!(shared.log, "removal_failed"; "error" => %error);
                sleep(RETRY_DELAY).await;
            }
        }
        sleep(REMOVAL_INTERVAL).await;
    }
}

/// Removes what was stored under identifiers at these revisions, so that a delayed removal can't
/// affect what is stored later. Returns those that are still stored because another one is gone or
/// can't be read, or `None` if another owner has taken over.
async fn remove(
    shared: &Shared,
    fence: Revision,
    batch: &[(Id, Revision)],
) -> Result<Option<Vec<(Id, Revision)>>, Error> {
    let mut transaction = Transaction::default().expect_revision(key::FENCE, fence);
    for (id, revision) in batch {
        transaction = transaction.expect_revision(key::job(*id), *revision);
        let keys = [key::job(*id), key::cancel(*id), key::progress(*id)];
        transaction = keys.into_iter().fold(transaction, Transaction::remove);
    }
    let deadline = Instant::now() + CALL_TIMEOUT;
    let items = match shared.store.commit(transaction, deadline).await? {
        Commit::Done(_) => return Ok(Some(Vec::new())),
        Commit::Conflict { items, .. } => items,
    };
    let is_at = |key: &str, revision: Revision| {
        let mut found = items.iter().filter(|item| item.key == key);
        found.any(|item| item.revision == revision)
    };
    if !is_at(key::FENCE, fence) {
        return Ok(None);
    }
    let remaining = batch
        .iter()
        .filter(|(id, revision)| is_at(&key::job(*id), *revision));
    Ok(Some(remaining.copied().collect()))
}
