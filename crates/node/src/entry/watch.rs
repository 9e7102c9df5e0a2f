//! Watches accepted jobs, cancellations and registrations of companions in the store.

use std::{collections::HashSet, sync::Arc};

use slog::info;
use tokio::{
    sync::mpsc,
    time::{Duration, Instant, sleep},
};
use toucanquay_model::{Error, Revision};

use super::{Shared, odd_entries::OddEntries, owner::Event, takeover};
use crate::{
    key,
    store::{self, Item, List, Watch},
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
        if let Some(id) = takeover::parse_withdrawal(item) {
            return Some(Event::Withdrawn(id, item.revision));
        }
        let (id, accepted_job) = takeover::parse_accepted_job(item)?;
        Some(Event::Accepted(id, Box::new(accepted_job), item.revision))
    };
    let ignore = |_key: &str| None;
    let ignore_list = |_list: &List| None;
    watch_prefix(
        &shared,
        &mailbox,
        key::INTAKE,
        start_revision,
        parse,
        ignore,
        ignore_list,
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
    let parse_list = |list: &List| Some(Event::HostsListed(listed_hosts(list)?));
    watch_prefix(
        &shared,
        &mailbox,
        key::HOSTS,
        start_revision,
        parse,
        parse_removal,
        parse_list,
    )
    .await;
}

/// Returns the names of all listed hosts, including those whose registration can't be read, or
/// `None` if a name can't be read.
fn listed_hosts(list: &List) -> Option<HashSet<String>> {
    if list.unreadable.iter().any(String::is_empty) {
        return None;
    }
    let readable = list.items.iter().map(|item| &item.key);
    let name = |key: &String| key.strip_prefix(key::HOSTS).map(str::to_owned);
    Some(readable.chain(&list.unreadable).filter_map(name).collect())
}

async fn watch_prefix(
    shared: &Shared,
    mailbox: &mpsc::Sender<Event>,
    prefix: &str,
    start_revision: Revision,
    parse: impl Fn(&Item) -> Option<Event>,
    parse_removal: impl Fn(&str) -> Option<Event>,
    parse_list: impl Fn(&List) -> Option<Event>,
) {
    let mut odd_entries = OddEntries::new(shared.log.clone());
    let mut parse_item = |item: &Item| {
        let event = parse(item);
        if event.is_none() {
            odd_entries.skip(&item.key, item.revision);
        }
        event
    };
    let mut parse_change = |change: store::Event| match change {
        store::Event::Written(item) => parse_item(&item),
        store::Event::Removed { key, .. } => parse_removal(&key),
    };
    let mut revision = Some(start_revision);
    loop {
        match next_changes(shared, prefix, revision, &parse_list).await {
            Ok((listed, changes, next_revision)) => {
                revision = next_revision;
                let changed = changes.into_iter().filter_map(&mut parse_change);
                for event in listed.into_iter().chain(changed) {
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

/// Returns the changes since a revision, or the event of a list and all its items if no revision is
/// given. A list doesn't report what was removed in the meantime.
async fn next_changes(
    shared: &Shared,
    prefix: &str,
    revision: Option<Revision>,
    parse_list: impl Fn(&List) -> Option<Event>,
) -> Result<(Option<Event>, Vec<store::Event>, Option<Revision>), Error> {
    let Some(revision) = revision else {
        let list = shared.store.list(prefix).await?;
        let listed = parse_list(&list);
        let changes = list.items.into_iter().map(store::Event::Written);
        return Ok((listed, changes.collect(), Some(list.revision)));
    };
    let deadline = Instant::now() + WATCH_TIMEOUT;
    match shared.store.watch(prefix, revision, deadline).await? {
        Watch::Events { events, revision } => Ok((None, events, Some(revision))),
        Watch::Compacted => Ok((None, Vec::new(), None)),
    }
}
