//! Watches the configuration in the store.

pub(super) mod peers;

use std::{fmt::Display, sync::Arc};

use bytes::Bytes;
use futures_util::{StreamExt, stream::FuturesUnordered};
use slog::{debug, info, warn};
use tokio::time::{Duration, Instant, sleep, timeout_at};
use toucanquay_model::{Error, ErrorKind, Revision, Time};

use super::{Shared, owner::Event, snapshot::Snapshot};
use crate::store::{self, Item, Page, Watch};

/// Timeout of a watch, as a share of the bound within which a change must be in force. A watch, its
/// failure and one more call fit into the bound.
const WATCH_SHARE: f64 = 0.4;

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Delay after which another call follows one that has no response yet.
const CALL_DELAY: Duration = Duration::from_millis(400);

/// Maximum number of calls at the same time, which share the link if their responses are long.
const CALLS_MAX: usize = 3;

/// Runs until the entry stops.
pub(super) async fn run(shared: Arc<Shared>) {
    loop {
        if let Err(error) = read_and_watch(&shared).await {
            info!(shared.log, "configuration_unreachable"; "error" => %error);
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Reads the configuration and applies its changes. Returns when the watched history is compacted.
async fn read_and_watch(shared: &Shared) -> Result<(), Error> {
    let key = shared.source.key.clone();
    let (called_at, page) = read(shared).await?;
    shared.record_store_response();
    let mut items = page.items.into_iter();
    if let Some(item) = items.find(|item| item.key == key) {
        apply_item(shared, item, called_at).await;
    }
    shared.confirm_configuration(called_at);
    let mut revision: Revision = page.revision;
    let wait = shared.settings.configuration_bound.mul_f64(WATCH_SHARE);
    loop {
        let called_at = shared.clock.now();
        let deadline = Instant::now() + wait;
        match shared.store.watch(&key, revision, deadline).await? {
            Watch::Events {
                events,
                revision: next_revision,
            } => {
                shared.record_store_response();
                revision = next_revision;
                let confirmed_at = confirmation(called_at, wait, &events, shared.clock.now());
                apply_newest(shared, events, confirmed_at).await;
                shared.confirm_configuration(confirmed_at);
            }
            Watch::Compacted => return Ok(()),
        }
    }
}

/// Reads the configuration, and returns the time of the call.
///
/// A call that was sent into a silent store stays unanswered when the store returns, so that others
/// follow it.
async fn read(shared: &Shared) -> Result<(Time, Page), Error> {
    let mut calls = FuturesUnordered::new();
    let mut next_call_at = Instant::now();
    loop {
        let now = Instant::now();
        if now >= next_call_at {
            next_call_at = now + CALL_DELAY;
            if calls.len() < CALLS_MAX {
                calls.push(read_page(shared));
            }
        }
        match timeout_at(next_call_at, calls.next()).await {
            // An earlier call may be receiving a long response.
            Ok(Some(Err(error))) if is_refusal(&error) && !calls.is_empty() => {
                debug!(shared.log, "configuration_call_refused"; "error" => %error);
            }
            Ok(Some(result)) => return result,
            Ok(None) | Err(_) => {}
        }
    }
}

fn is_refusal(error: &Error) -> bool {
    error.kind() == ErrorKind::StoreUnavailable
}

async fn read_page(shared: &Shared) -> Result<(Time, Page), Error> {
    let called_at = shared.clock.now();
    let deadline = Instant::now() + store::PAGE_TIMEOUT;
    let page = shared.store.page(&shared.source.key, "", deadline).await?;
    Ok((called_at, page))
}

/// Applies the last change that can be read. Each event has the whole configuration, so that those
/// before it needn't be decoded.
async fn apply_newest(shared: &Shared, events: Vec<store::Event>, confirmed_at: Time) {
    let newest_first = events.into_iter().rev();
    let items = newest_first.filter_map(|event| match event {
        store::Event::Written(item) if item.key == shared.source.key => Some(item),
        _ => None,
    });
    for item in items {
        if apply_item(shared, item, confirmed_at).await {
            return;
        }
    }
}

/// Returns the latest time of which the response to a watch tells. The store answers as soon as
/// there is a change, so that a response without one tells of the whole wait.
fn confirmation(called_at: Time, wait: Duration, events: &[store::Event], now: Time) -> Time {
    let waited_until = called_at.plus_millis(wait.as_millis() as u64);
    if events.is_empty() && waited_until <= now {
        return waited_until;
    }
    called_at
}

/// Applies the configuration in an item, and returns whether it can be read. One that can't be read
/// leaves the current one in force.
async fn apply_item(shared: &Shared, item: Item, confirmed_at: Time) -> bool {
    let applied = apply(shared, item.value.into(), confirmed_at, &"store").await;
    if let Err(error) = &applied {
        warn!(shared.log, "configuration_unreadable"; "error" => %error,
            "revision" => item.revision);
    }
    applied.is_ok()
}

/// Applies an encoded configuration if its version is higher than the current one.
///
/// # Errors
///
/// Returns the decoder's error.
async fn apply(
    shared: &Shared,
    value: Bytes,
    confirmed_at: Time,
    origin: &(dyn Display + Sync),
) -> Result<(), Error> {
    let configuration = (shared.source.decode)(&value)?;
    let (version, queues) = (configuration.version, configuration.queues.len());
    let snapshot = Snapshot {
        configuration: Arc::new(configuration),
        value,
        confirmed_at,
    };
    if shared.set_snapshot(snapshot) {
        info!(shared.log, "configuration_taken"; "version" => version, "queues" => queues,
            "origin" => %origin);
        if let Some(mailbox) = shared.mailbox() {
            // Sending fails only if the owner is stopping and needs no configuration.
            let _ = mailbox.send(Event::ConfigurationChanged).await;
        }
    }
    Ok(())
}
