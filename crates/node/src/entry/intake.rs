//! Follows accepted jobs, cancellations and companions in the store.

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

/// Longest wait of a watch.
const WATCH_WAIT: Duration = Duration::from_millis(2_000);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Follows jobs and cancellations until the owner's role ends.
pub(super) async fn run(shared: Arc<Shared>, mailbox: mpsc::Sender<Event>, from: Revision) {
    let event = |item: &Item| {
        if let Some(id) = takeover::id(item, key::CANCELS) {
            return Some(Event::Cancelled(id));
        }
        let (id, acceptance) = takeover::job(item)?;
        Some(Event::Accepted(id, Box::new(acceptance)))
    };
    follow(&shared, &mailbox, key::INTAKE, from, event).await;
}

/// Follows the addresses of companions until the owner's role ends.
pub(super) async fn run_hosts(shared: Arc<Shared>, mailbox: mpsc::Sender<Event>, from: Revision) {
    let event = |item: &Item| {
        let (name, address) = takeover::host(item)?;
        Some(Event::Host(name, address))
    };
    follow(&shared, &mailbox, key::HOSTS, from, event).await;
}

async fn follow(
    shared: &Shared,
    mailbox: &mpsc::Sender<Event>,
    prefix: &str,
    from: Revision,
    event: impl Fn(&Item) -> Option<Event>,
) {
    let mut revision = Some(from);
    loop {
        match next(shared, prefix, revision).await {
            Ok((items, at)) => {
                revision = at;
                for item in &items {
                    let Some(event) = event(item) else {
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
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Returns what was written since a revision, or everything if there is none.
async fn next(
    shared: &Shared,
    prefix: &str,
    revision: Option<Revision>,
) -> Result<(Vec<Item>, Option<Revision>), Error> {
    let Some(revision) = revision else {
        let (items, at) = shared.store.list(prefix).await?;
        return Ok((items, Some(at)));
    };
    let deadline = Instant::now() + WATCH_WAIT;
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
