//! Writes the progress of jobs, and removes the registrations of silent hosts.

use std::sync::Arc;

use slog::{debug, info, warn};
use tokio::{
    sync::mpsc,
    time::{Duration, Instant, sleep},
};
use toucanquay_control::scheduler::Commit as JobRecords;
use toucanquay_model::{
    Error, ErrorKind, Revision,
    graph::{Id, Progress},
};

use super::{Shared, owner::Event};
use crate::{
    key,
    store::{Commit, Item, Transaction},
};

/// Timeout of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Minimum and maximum delay before a failed call is retried.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(25);
const RETRY_DELAY_MAX: Duration = Duration::from_millis(250);

/// Retries one commit until its outcome is known, and reports the outcome to the owner.
pub(super) async fn run(
    shared: Arc<Shared>,
    mailbox: mpsc::Sender<Event>,
    fence: Revision,
    records: JobRecords,
) {
    let mut retry_delay = RETRY_DELAY_MIN;
    loop {
        match write_records(&shared, fence, &records).await {
            Ok(event) => {
                // Sending fails only if the owner has stopped and doesn't need the outcome.
                let _ = mailbox.send(event).await;
                return;
            }
            Err(error) => {
                debug!(shared.log, "record_failed"; "error" => %error);
                sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(RETRY_DELAY_MAX);
            }
        }
    }
}

async fn write_records(
    shared: &Shared,
    fence: Revision,
    records: &JobRecords,
) -> Result<Event, Error> {
    let mut transaction = Transaction::default().expect_revision(key::FENCE, fence);
    for (id, revision, progress) in &records.records {
        let key = key::progress(*id);
        transaction = transaction
            .expect_revision(key.clone(), *revision)
            .put(key, encode(progress));
    }
    let deadline = Instant::now() + CALL_TIMEOUT;
    match shared.store.commit(transaction, deadline).await? {
        Commit::Done(revision) => Ok(Event::CommitSucceeded(revision)),
        Commit::Conflict { items, unreadable } if unreadable.is_empty() => {
            Ok(resolve_conflict(shared, fence, records, &items))
        }
        Commit::Conflict { .. } => overwrite_records(shared, fence, records).await,
    }
}

/// Writes the records in place of what their keys hold, whose revisions can't be read. Only the
/// owner writes them, and the fence shows that there is no later one.
///
/// # Errors
///
/// Returns the store's error if nothing was written.
async fn overwrite_records(
    shared: &Shared,
    fence: Revision,
    records: &JobRecords,
) -> Result<Event, Error> {
    let mut transaction = Transaction::default().expect_revision(key::FENCE, fence);
    for (id, _, progress) in &records.records {
        transaction = transaction.put(key::progress(*id), encode(progress));
    }
    let deadline = Instant::now() + CALL_TIMEOUT;
    match shared.store.commit(transaction, deadline).await {
        Ok(Commit::Done(revision)) => {
            info!(shared.log, "records_overwritten"; "jobs" => records.records.len(),
                "revision" => revision);
            Ok(Event::CommitSucceeded(revision))
        }
        Err(error) if error.kind() == ErrorKind::StoreUnavailable => Err(error),
        // A write that is carried out later would replace later records. The next takeover writes
        // another fence, on which it fails.
        Ok(Commit::Conflict { .. }) | Err(_) => Ok(superseded(shared, fence)),
    }
}

fn superseded(shared: &Shared, fence: Revision) -> Event {
    warn!(shared.log, "record_fenced"; "fence" => fence);
    Event::Superseded
}

/// Determines from the current items whether an earlier attempt wrote the same records.
fn resolve_conflict(
    shared: &Shared,
    fence: Revision,
    records: &JobRecords,
    items: &[Item],
) -> Event {
    let find = |key: &str| items.iter().find(|item| item.key == key);
    if find(key::FENCE).is_none_or(|item| item.revision != fence) {
        return superseded(shared, fence);
    }
    let current_item = |id: Id| find(&key::progress(id));
    let mut written = records.records.iter().map(|(id, _, progress)| {
        let item = current_item(*id)?;
        (item.value == encode(progress)).then_some(item.revision)
    });
    if let Some(Some(revision)) = written.next()
        && written.all(|other| other == Some(revision))
    {
        return Event::CommitSucceeded(revision);
    }
    let revision = |id: Id| current_item(id).map_or(0, |item| item.revision);
    let ids = records
        .records
        .iter()
        .map(|(id, _, _)| (*id, revision(*id)));
    Event::CommitRejected(ids.collect())
}

/// Removes the registration of a host. Retries until it is removed, unless the host registers anew,
/// the registration can't be read or another owner takes over.
pub(super) async fn remove_host(shared: Arc<Shared>, fence: Revision, host: String) {
    let key = key::host(&host);
    let mut removed_revision = None;
    loop {
        match try_remove_host(&shared, fence, &key, &mut removed_revision).await {
            Ok(()) => return,
            Err(error) => {
                info!(shared.log, "forgetting_failed"; "host" => &host, "error" => %error);
                if error.kind() == ErrorKind::Protocol {
                    // Its revision is unknown, and it may be that of a running companion.
                    return;
                }
                sleep(RETRY_DELAY_MAX).await;
            }
        }
    }
}

/// Removes a registration by its revision, so that a delayed removal can't affect a later one.
async fn try_remove_host(
    shared: &Shared,
    fence: Revision,
    key: &str,
    removed_revision: &mut Option<Revision>,
) -> Result<(), Error> {
    let deadline = Instant::now() + CALL_TIMEOUT;
    let Some(item) = shared.store.get(key, deadline).await? else {
        return Ok(());
    };
    if *removed_revision.get_or_insert(item.revision) != item.revision {
        return Ok(());
    }
    let transaction = Transaction::default()
        .expect_revision(key::FENCE, fence)
        .expect_revision(key, item.revision)
        .remove(key);
    // A conflict means that the host has registered anew or another owner has taken over.
    shared.store.commit(transaction, deadline).await?;
    Ok(())
}

fn encode(progress: &Progress) -> Vec<u8> {
    serde_json::to_vec(progress).expect("progress always serializes to JSON")
}
