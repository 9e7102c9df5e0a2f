//! Reads and writes the record of the hosts that the owner doesn't hear.

use std::{collections::BTreeMap, sync::Arc};

use slog::{debug, info, warn};
use tokio::{
    sync::mpsc,
    time::{Duration, Instant, sleep},
};
use toucanquay_control::silence::Record;
use toucanquay_model::{Error, ErrorKind, Revision};

use super::{Shared, owner::Event};
use crate::{
    key,
    store::{Commit, Item, Transaction},
};

/// Timeout of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Reads the record. Returns its revision, and the time that the leases of each host last, counted
/// from before it was written, in milliseconds. A record that can't be read names no host.
///
/// # Errors
///
/// Returns the store's error.
pub(super) async fn read(
    shared: &Shared,
    fence: Revision,
) -> Result<(Revision, BTreeMap<String, u64>), Error> {
    let deadline = Instant::now() + CALL_TIMEOUT;
    match shared.store.get(key::SILENT_HOSTS, deadline).await {
        Ok(None) => Ok((0, BTreeMap::new())),
        Ok(Some(item)) => {
            let remaining_ms = serde_json::from_slice(&item.value).unwrap_or_default();
            Ok((item.revision, remaining_ms))
        }
        Err(error) if error.kind() == ErrorKind::Protocol => {
            warn!(shared.log, "silent_hosts_unreadable"; "error" => %error);
            Ok((clear(shared, fence).await?, BTreeMap::new()))
        }
        Err(error) => Err(error),
    }
}

/// Writes a record. Retries until the outcome is known, and reports it to the owner.
pub(super) async fn write(
    shared: Arc<Shared>,
    mailbox: mpsc::Sender<Event>,
    fence: Revision,
    record: Record,
) {
    loop {
        match try_write(&shared, fence, &record).await {
            Ok(event) => {
                // Sending fails only if the owner has stopped and doesn't need the outcome.
                let _ = mailbox.send(event).await;
                return;
            }
            Err(error) => {
                debug!(shared.log, "silent_hosts_not_recorded"; "error" => %error);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Writes a record in place of the one with the known revision, so that a write that is executed
/// late can't replace a later record.
async fn try_write(shared: &Shared, fence: Revision, record: &Record) -> Result<Event, Error> {
    let value = encode(&record.remaining_ms);
    let transaction = Transaction::default()
        .expect_revision(key::FENCE, fence)
        .expect_revision(key::SILENT_HOSTS, record.revision)
        .put(key::SILENT_HOSTS, value.clone());
    let deadline = Instant::now() + CALL_TIMEOUT;
    let (items, unreadable) = match shared.store.commit(transaction, deadline).await? {
        Commit::Done(revision) => return Ok(Event::SilenceRecorded(revision)),
        Commit::Conflict { items, unreadable } => (items, unreadable),
    };
    let find = |key: &str| items.iter().find(|item| item.key == key);
    if find(key::FENCE).is_none_or(|item| item.revision != fence) {
        info!(shared.log, "record_fenced"; "fence" => fence);
        return Ok(Event::Superseded);
    }
    if !unreadable.is_empty() {
        return Ok(Event::SilenceRejected(clear(shared, fence).await?));
    }
    let current: Option<&Item> = find(key::SILENT_HOSTS);
    let revision = current.map_or(0, |item| item.revision);
    // An earlier attempt was applied although its response was lost.
    let is_written = current.is_some_and(|item| item.value == value);
    Ok(if is_written {
        Event::SilenceRecorded(revision)
    } else {
        Event::SilenceRejected(revision)
    })
}

/// Replaces a record whose revision can't be read by an empty one. It may be executed late: it names
/// no host.
async fn clear(shared: &Shared, fence: Revision) -> Result<Revision, Error> {
    let transaction = Transaction::default()
        .expect_revision(key::FENCE, fence)
        .put(key::SILENT_HOSTS, encode(&BTreeMap::new()));
    let deadline = Instant::now() + CALL_TIMEOUT;
    match shared.store.commit(transaction, deadline).await? {
        Commit::Done(revision) => Ok(revision),
        Commit::Conflict { .. } => Err(Error::new(ErrorKind::NoOwner)),
    }
}

fn encode(remaining_ms: &BTreeMap<String, u64>) -> Vec<u8> {
    serde_json::to_vec(remaining_ms).expect("a map always serializes to JSON")
}
