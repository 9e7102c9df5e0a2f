//! Ownership: one entry at a time places tasks.
//!
//! The owner renews its key by compare-and-swap. Another entry that has seen the key unchanged
//! for longer than an owner may act without a renewal replaces it in the same way. This needs no
//! lease of the store, which may lapse or pause while the store is away.

use std::sync::Arc;

use slog::{info, warn};
use tokio::time::{Duration, Instant, sleep, sleep_until};
use toucanquay_model::{Epoch, Error, Revision, Time};

use super::{Shared, owner, term::Term};
use crate::{
    key, meters,
    store::{Commit, Event, Item, Transaction, Watch},
};

/// Time after the sending of a renewal in which the owner may act.
const AUTHORITY_MICROS: u64 = 1_600_000;

/// Time for which the key must be unchanged before another entry takes over.
const TAKEOVER_MICROS: u64 = 2_000_000;

/// Time between two renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Time for one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest wait of a watch.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What is known of the owner's key.
#[derive(Debug, Clone)]
struct Sight {
    term: Option<Term>,
    revision: Revision,
    since: Time,
}

/// Runs until the entry stops.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut sight: Option<Sight> = None;
    while !shared.retire.is_cancelled() {
        let step = async {
            match observe(&shared, &mut sight).await {
                Ok(true) => take(&shared, &mut sight).await,
                Ok(false) => {}
                Err(error) => {
                    info!(shared.log, "owner_unknown"; "error" => %error);
                    sleep(RETRY_PAUSE).await;
                }
            }
        };
        step.await;
    }
    shared.released.cancel();
}

/// Looks at the owner's key, and waits for a change. Returns whether to take over.
async fn observe(shared: &Shared, sight: &mut Option<Sight>) -> Result<bool, Error> {
    let deadline = Instant::now() + CALL_TIMEOUT;
    let page = shared.store.page(key::OWNER, "", deadline).await?;
    shared.heard_store();
    see(shared, sight, page.items.first());
    let mut revision = page.revision;
    loop {
        let take_at = take_at(shared, sight);
        if shared.clock.now() >= take_at {
            return Ok(true);
        }
        let until = shared
            .clock
            .instant(take_at)
            .min(Instant::now() + WATCH_WAIT);
        let watched = tokio::select! {
            watched = shared.store.watch(key::OWNER, revision, until) => watched?,
            () = shared.retire.cancelled() => return Ok(false),
        };
        let Watch::Events {
            events,
            revision: next,
        } = watched
        else {
            return Ok(false);
        };
        shared.heard_store();
        revision = next;
        for event in events {
            match event {
                Event::Written(item) => see(shared, sight, Some(&item)),
                Event::Removed { .. } => see(shared, sight, None),
            }
        }
    }
}

fn see(shared: &Shared, sight: &mut Option<Sight>, item: Option<&Item>) {
    let revision = item.map_or(0, |item| item.revision);
    if sight
        .as_ref()
        .is_some_and(|sight| sight.revision == revision)
    {
        return;
    }
    let term = item.and_then(|item| Term::from_bytes(&item.value));
    let former = sight.as_ref().and_then(|sight| sight.term.as_ref());
    let epoch = |term: Option<&Term>| term.map(|term| (term.epoch, term.is_released));
    if epoch(former) != epoch(term.as_ref()) {
        info!(shared.log, "owner_seen"; "epoch" => term.as_ref().map(|term| term.epoch),
            "holder" => term.as_ref().map(|term| term.holder.clone()), "revision" => revision);
    }
    shared.set_owner(term.clone().filter(|term| !term.is_released));
    *sight = Some(Sight {
        term,
        revision,
        since: shared.clock.now(),
    });
}

/// Returns when the present owner may be replaced.
fn take_at(shared: &Shared, sight: &Option<Sight>) -> Time {
    let Some(sight) = sight else {
        return Time::NEVER;
    };
    let Some(term) = &sight.term else {
        return sight.since;
    };
    // No other process has this address, so the holder is a former process of this host.
    let is_former_self = term.address == shared.settings.listen;
    if term.is_released || is_former_self {
        return sight.since;
    }
    sight.since.plus_micros(TAKEOVER_MICROS)
}

async fn take(shared: &Arc<Shared>, sight: &mut Option<Sight>) {
    let Some(seen) = sight.take() else {
        return;
    };
    let settings = &shared.settings;
    let term = Term {
        epoch: seen.term.as_ref().map_or(1, |term| term.epoch + 1),
        holder: settings.name.clone(),
        process: settings.process,
        address: settings.listen,
        is_released: false,
        renewals: 0,
    };
    let transaction = Transaction::default()
        .expect(key::OWNER, seen.revision)
        .put(key::OWNER, term.to_bytes())
        .put(key::FENCE, term.epoch.to_string());
    let sent_at = shared.clock.now();
    match shared
        .store
        .commit(transaction, Instant::now() + CALL_TIMEOUT)
        .await
    {
        Ok(Commit::Done(revision)) => {
            meters::took_over();
            info!(shared.log, "ownership_taken"; "epoch" => term.epoch, "revision" => revision);
            shared.set_owner(Some(term.clone()));
            serve(shared, term, revision, sent_at).await;
        }
        Ok(Commit::Conflict(_)) => {}
        Err(error) => {
            // If the write took effect, its value names this process as the owner.
            warn!(shared.log, "takeover_unanswered"; "epoch" => term.epoch, "error" => %error);
            sleep(RETRY_PAUSE).await;
        }
    }
}

/// Owns until another entry takes over or this one retires.
async fn serve(shared: &Arc<Shared>, mut term: Term, mut revision: Revision, sent_at: Time) {
    let fence = revision;
    let owner = owner::Owner::start(shared, term.epoch, fence, authority(sent_at));
    let mut renew_at = Instant::now() + RENEWAL_INTERVAL;
    loop {
        tokio::select! {
            () = sleep_until(renew_at) => {}
            () = shared.retire.cancelled() => break,
        }
        term.renewals += 1;
        let sent_at = shared.clock.now();
        match renew(shared, &term, revision).await {
            Ok(Commit::Done(next)) => {
                revision = next;
                shared.heard_store();
                owner.hold(authority(sent_at)).await;
                renew_at = Instant::now() + RENEWAL_INTERVAL;
            }
            Ok(Commit::Conflict(items)) => match mine(&items, &term) {
                // An earlier renewal took effect without an answer.
                Some(present) => revision = present,
                None => {
                    warn!(shared.log, "ownership_lost"; "epoch" => term.epoch);
                    owner.stop();
                    return;
                }
            },
            Err(error) => {
                warn!(shared.log, "renewal_failed"; "epoch" => term.epoch, "error" => %error);
                renew_at = Instant::now() + RETRY_PAUSE;
            }
        }
    }
    owner.stop();
    release(shared, term, revision).await;
}

async fn renew(shared: &Shared, term: &Term, revision: Revision) -> Result<Commit, Error> {
    let transaction = Transaction::default()
        .expect(key::OWNER, revision)
        .put(key::OWNER, term.to_bytes());
    shared
        .store
        .commit(transaction, Instant::now() + CALL_TIMEOUT)
        .await
}

async fn release(shared: &Shared, mut term: Term, revision: Revision) {
    term.is_released = true;
    let epoch: Epoch = term.epoch;
    match renew(shared, &term, revision).await {
        Ok(_) => info!(shared.log, "ownership_released"; "epoch" => epoch),
        Err(error) => warn!(shared.log, "release_failed"; "epoch" => epoch, "error" => %error),
    }
}

fn mine(items: &[Item], term: &Term) -> Option<Revision> {
    let item = items.iter().find(|item| item.key == key::OWNER)?;
    let present = Term::from_bytes(&item.value)?;
    let is_mine = present.epoch == term.epoch && present.process == term.process;
    is_mine.then_some(item.revision)
}

const fn authority(sent_at: Time) -> Time {
    sent_at.plus_micros(AUTHORITY_MICROS)
}
