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
    watch_prefix(&shared, &mailbox, key::INTAKE, start_revision, parse).await;
}

/// Sends the registrations of companions to the owner until it stops.
pub(super) async fn watch_hosts(
    shared: Arc<Shared>,
    mailbox: mpsc::Sender<Event>,
    start_revision: Revision,
) {
    let parse = |item: &Item| {
        let (name, registration) = takeover::parse_host(item)?;
        Some(Event::HostRegistration(name, registration))
    };
    watch_prefix(&shared, &mailbox, key::HOSTS, start_revision, parse).await;
}

async fn watch_prefix(
    shared: &Shared,
    mailbox: &mpsc::Sender<Event>,
    prefix: &str,
    start_revision: Revision,
    parse: impl Fn(&Item) -> Option<Event>,
) {
    let mut revision = Some(start_revision);
    loop {
        match next_items(shared, prefix, revision).await {
            Ok((items, next_revision)) => {
                revision = next_revision;
                for item in &items {
                    let Some(event) = parse(item) else {
                        warn!(shared.log, "item_unreadable"; "key" => &item.key,
                            "revision" => item.revision);
                        continue;
                    };
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

/// Returns the items written since a revision, or all items if no revision is given.
async fn next_items(
    shared: &Shared,
    prefix: &str,
    revision: Option<Revision>,
) -> Result<(Vec<Item>, Option<Revision>), Error> {
    let Some(revision) = revision else {
        let (items, next_revision) = shared.store.list(prefix).await?;
        return Ok((items, Some(next_revision)));
    };
    let deadline = Instant::now() + WATCH_TIMEOUT;
    match shared.store.watch(prefix, revision, deadline).await? {
        Watch::Events { events, revision } => {
            let written = events.into_iter().filter_map(|event| match event {
                store::Event::Written(item) => Some(item),
                store::Event::Removed { .. } => None,
            });
            Ok((written.collect(), Some(revision)))
        }
        Watch::Compacted => Ok((Vec::new(), None)),
    }
}
