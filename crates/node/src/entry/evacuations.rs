//! Watches the requests to evacuate availability zones, and tells the owner of them.

use std::{collections::BTreeSet, sync::Arc};

use futures_util::{StreamExt, stream::FuturesUnordered};
use slog::{info, warn};
use tokio::{
    sync::mpsc,
    time::{Duration, Instant, sleep, timeout, timeout_at},
};
use toucanquay_model::{Error, ErrorKind, Revision, Time};

use super::{Shared, owner::Event};
use crate::{
    evacuation::Source,
    store::{List, Watch},
};

/// Time of a wait for changes, as a share of the bound within which a request must be in force.
const WATCH_SHARE: f64 = 0.2;

/// Age of the knowledge with which tasks may still be started, as a share of the bound. The rest is
/// for the call to the worker.
const AGE_SHARE_MAX: f64 = 0.8;

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Delay after which another list follows one that has no response yet.
const LIST_DELAY: Duration = Duration::from_millis(400);

/// Timeout of a list, which is short. It bounds the number of lists at the same time.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Returns the maximum age of the knowledge with which tasks may be started, in microseconds.
pub(super) fn age_micros_max(source: &Source) -> u64 {
    u64::try_from(source.bound.mul_f64(AGE_SHARE_MAX).as_micros()).unwrap_or(u64::MAX)
}

/// Tells the owner of the evacuated zones until it stops.
///
/// A watch only shows that something has changed. What holds then is listed, so that events that
/// can't be read, or were dropped with the history, are of no consequence.
pub(super) async fn run(shared: Arc<Shared>, mailbox: mpsc::Sender<Event>, source: Source) {
    let mut requests = Requests::default();
    loop {
        match list_and_watch(&shared, &mailbox, &source, &mut requests).await {
            Ok(()) => {}
            Err(_) if mailbox.is_closed() => return,
            Err(error) => {
                info!(shared.log, "evacuations_unreachable"; "error" => %error);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Lists the requests, and returns when a watch shows that they may have changed.
async fn list_and_watch(
    shared: &Shared,
    mailbox: &mpsc::Sender<Event>,
    source: &Source,
    requests: &mut Requests,
) -> Result<(), Error> {
    let (listed_at, list) = list(shared, &source.prefix).await?;
    if let Some(unreadable) = requests.apply(&list, &source.prefix) {
        warn!(shared.log, "evacuation_unreadable"; "keys" => unreadable,
            "effect" => "names no zone; none is taken back meanwhile");
    }
    let mut revision: Revision = list.revision;
    let mut confirmed_at = listed_at;
    loop {
        let event = Event::EvacuationsConfirmed(requests.zones.clone(), confirmed_at);
        if mailbox.send(event).await.is_err() {
            return Ok(());
        }
        // A watch may miss changes until shortly before it is cut, so that it tells only of the time
        // at which it was called.
        confirmed_at = shared.clock.now();
        let deadline = Instant::now() + source.bound.mul_f64(WATCH_SHARE);
        let watch = shared.store.watch(&source.prefix, revision, deadline);
        match watch.await? {
            // An early response without an event that can be read is about one that can't.
            Watch::Events {
                events,
                revision: next,
            } if events.is_empty() && Instant::now() >= deadline => revision = next,
            Watch::Events { .. } | Watch::Compacted => return Ok(()),
        }
    }
}

/// Lists the requests, and returns the time of the call.
///
/// A call that was sent into a silent store stays unanswered when the store returns, so that others
/// follow it.
async fn list(shared: &Shared, prefix: &str) -> Result<(Time, List), Error> {
    let call = || async {
        let called_at = shared.clock.now();
        let listed = timeout(LIST_TIMEOUT, shared.store.list(prefix)).await;
        let unanswered = |_elapsed| Error::new(ErrorKind::StoreUnavailable).context("no response");
        Ok((called_at, listed.map_err(unanswered)??))
    };
    let mut calls = FuturesUnordered::new();
    let mut next_call_at = Instant::now();
    loop {
        let now = Instant::now();
        if now >= next_call_at {
            next_call_at = now + LIST_DELAY;
            calls.push(call());
        }
        match timeout_at(next_call_at, calls.next()).await {
            Ok(Some(Err(_))) if !calls.is_empty() => {}
            Ok(Some(result)) => return result,
            Ok(None) | Err(_) => {}
        }
    }
}

/// Zones whose evacuation is requested.
#[derive(Debug, Default)]
struct Requests {
    zones: BTreeSet<String>,
    /// Number of listed keys that name no zone, when it was last logged.
    unreadable: usize,
}

impl Requests {
    /// Takes the requests from a list. Returns the number of keys that name no zone if it has
    /// changed and there are any.
    ///
    /// A key that can't be read may be that of a known request, so that none is taken back while
    /// there is one.
    fn apply(&mut self, list: &List, prefix: &str) -> Option<usize> {
        let keys = list.items.iter().map(|item| &item.key);
        let mut listed = BTreeSet::new();
        let mut unreadable = 0;
        for key in keys.chain(&list.unreadable) {
            match key.strip_prefix(prefix) {
                Some(zone) if !zone.is_empty() => {
                    listed.insert(zone.to_owned());
                }
                _ => unreadable += 1,
            }
        }
        if list.unreadable.iter().any(String::is_empty) {
            self.zones.append(&mut listed);
        } else {
            self.zones = listed;
        }
        let former = std::mem::replace(&mut self.unreadable, unreadable);
        (unreadable > 0 && unreadable != former).then_some(unreadable)
    }
}
