//! Watches accepted jobs, cancellations and registrations of companions in the store.

use std::sync::Arc;

use slog::{info, warn};
use tokio::{
    sync::mpsc,
    time::{Duration, Instant, sleep},
};
use toucanquay_model::{Error, Revision};

use super::{Shared, owner::Event, takeover};
use crate::{
    key,
    store::{self, Item, Watch},
};

/// Timeout of a watch.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Sends accepted jobs and cancellations to the owner until it stops.
pub(super) async fn watch_jobs(
    shared: Arc<Shared>,
    mailbox: mpsc::Sender<Event>,
    start_revision: Revision,
) {
    let parse = |item: &Item| {
        if let Some(id) = takeover::parse_id(item, key::CANCELS) {
            return Some(Event::Cancelled(id));
        }
        let (id, accepted_job) = takeover::parse_accepted_job(item)?;
        Some(Event::Accepted(id, Box::new(accepted_job)))
    };
    let ignore = |_key: &str| None;
    watch_prefix(
        &shared,
        &mailbox,
        key::INTAKE,
        start_revision,
        parse,
        ignore,
    )
    .await;
}

/// Sends the registrations of companions, and their removals, to the owner until it stops.
pub(super) async fn watch_hosts(
    shared: Arc<Shared>,
    mailbox: mpsc::Sender<Event>,
    start_revision: Revision,
) {
    let parse = |item: &Item| {
        let (name, registration) = takeover::parse_host(item)?;
        Some(Event::HostRegistration(name, registration))
    };
    let parse_removal = |key: &str| {
        let name = key.strip_prefix(key::HOSTS)?;
        Some(Event::HostRemoved(name.to_owned()))
    };
    watch_prefix(
        &shared,
        &mailbox,
        key::HOSTS,
        start_revision,
        parse,
        parse_removal,
    )
    .await;
}

async fn watch_prefix(
    shared: &Shared,
    mailbox: &mpsc::Sender<Event>,
    prefix: &str,
    start_revision: Revision,
    parse: impl Fn(&Item) -> Option<Event>,
    parse_removal: impl Fn(&str) -> Option<Event>,
) {
    let parse_change = |change: &store::Event| match change {
        store::Event::Written(item) => {
            let event = parse(item);
            if event.is_none() {
                warn!(shared.log, "item_unreadable"; "key" => &item.key,
                    "revision" => item.revision);
            }
            event
        }
        store::Event::Removed { key, .. } => parse_removal(key),
    };
    let mut revision = Some(start_revision);
    loop {
        match next_changes(shared, prefix, revision).await {
            Ok((changes, next_revision)) => {
                revision = next_revision;
                for event in changes.iter().filter_map(parse_change) {
                    if mailbox.send(event).await.is_err() {
                        return;
                    }
                }
            }
            Err(error) => {
                info!(shared.log, "watch_failed"; "prefix" => prefix, "error" => %error);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Returns the changes since a revision, or all items if no revision is given.
async fn next_changes(
    shared: &Shared,
    prefix: &str,
    revision: Option<Revision>,
) -> Result<(Vec<store::Event>, Option<Revision>), Error> {
    let Some(revision) = revision else {
        let list = shared.store.list(prefix).await?;
        let changes = list.items.into_iter().map(store::Event::Written);
        return Ok((changes.collect(), Some(list.revision)));
    };
    let deadline = Instant::now() + WATCH_TIMEOUT;
    match shared.store.watch(prefix, revision, deadline).await? {
        Watch::Events { events, revision } => Ok((events, Some(revision))),
        Watch::Compacted => Ok((Vec::new(), None)),
    }
}
