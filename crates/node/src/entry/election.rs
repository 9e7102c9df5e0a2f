//! Election of the owner, the one entry that places tasks.
//!
//! The owner renews its key by compare-and-swap. Another entry takes over in the same way once
//! it has observed the key unchanged for longer than an owner may act without a renewal. No lease
//! of the store is used, since it may expire or pause while the store is unavailable.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
};

use slog::{info, warn};
use tokio::time::{Duration, Instant, sleep, sleep_until};
use toucanquay_model::{Epoch, Error, ErrorKind, Revision, Time};

use super::{
    Shared, candidates,
    observed_owner::{Holding, ObservedOwner},
    odd_entries::OddEntries,
    owner,
    predecessor::Predecessor,
    sightings::Sightings,
    term::Term,
};
use crate::{
    key, meters,
    store::{Commit, Event, Item, Page, Transaction, Watch},
};

/// Time for which the owner may act, counted from when its last successful renewal was sent.
const OWNERSHIP_MICROS: u64 = 1_600_000;

/// Time for which the key must remain unchanged before another entry takes over. It exceeds
/// [`OWNERSHIP_MICROS`], so that the previous owner has stopped acting by then.
const TAKEOVER_MICROS: u64 = 2_000_000;

/// Head start that an entry leaves to those with much larger hosts. It covers the delay of their
/// watches and the time of one write.
const HEAD_START_MICROS: u64 = 400_000;

/// Interval between two attempts to hand the ownership over to a larger host.
const HANDOVER_INTERVAL: Duration = Duration::from_secs(5);

/// Interval between renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout of a watch.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Delay after an unexpected end of the owner before this entry takes part in an election again.
const FAILURE_DELAY: Duration = Duration::from_millis(500);

/// Address in a term that no process holds.
const NO_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Runs until the entry stops.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut observed: Option<ObservedOwner> = None;
    let mut sightings = Sightings::default();
    let mut odd_entries = OddEntries::new(shared.log.clone());
    while !shared.drain.is_cancelled() {
        let iteration = async {
            match observe(&shared, &mut observed, &mut sightings, &mut odd_entries).await {
                Ok(true) => take_over(&shared, &mut observed, &sightings).await,
                Ok(false) => {}
                Err(error) => {
                    info!(shared.log, "owner_unknown"; "error" => %error);
                    sleep(RETRY_DELAY).await;
                }
            }
        };
        iteration.await;
    }
    shared.released.cancel();
}

/// Reads the owner's key and watches its changes. Returns whether this entry should take over.
async fn observe(
    shared: &Shared,
    observed: &mut Option<ObservedOwner>,
    sightings: &mut Sightings,
    odd_entries: &mut OddEntries,
) -> Result<bool, Error> {
    let deadline = Instant::now() + CALL_TIMEOUT;
    let page = shared.store.page(key::OWNER, "", deadline).await?;
    shared.record_store_response();
    let item = page.items.iter().find(|item| item.key == key::OWNER);
    if item.is_none() && has_unreadable_owner(&page) {
        odd_entries.skip(key::OWNER, 0);
        record_unreadable_owner(shared, observed);
    } else {
        record_owner(shared, observed, odd_entries, item);
    }
    let mut revision = page.revision;
    sightings.record(revision, shared.clock.now());
    loop {
        let takeover_at = takeover_at(shared, observed);
        if shared.clock.now() >= takeover_at {
            return Ok(true);
        }
        let watch_until = shared
            .clock
            .instant(takeover_at)
            .min(Instant::now() + WATCH_TIMEOUT);
        let watched = tokio::select! {
            watched = shared.store.watch(key::OWNER, revision, watch_until) => watched?,
            () = shared.drain.cancelled() => return Ok(false),
        };
        let Watch::Events {
            events,
            revision: next_revision,
        } = watched
        else {
            return Ok(false);
        };
        shared.record_store_response();
        revision = next_revision;
        sightings.record(revision, shared.clock.now());
        for event in events {
            match event {
                Event::Written(item) if item.key == key::OWNER => {
                    record_owner(shared, observed, odd_entries, Some(&item));
                }
                Event::Removed { key, .. } if key == key::OWNER => {
                    record_owner(shared, observed, odd_entries, None);
                }
                // Another writer's key that begins in the same way.
                _ => {}
            }
        }
    }
}

/// Returns whether an unreadable entry of the page is, or may be, the owner's.
fn has_unreadable_owner(page: &Page) -> bool {
    let mut unreadable = page.unreadable.iter();
    unreadable.any(|key| key.is_empty() || key == key::OWNER)
}

fn record_unreadable_owner(shared: &Shared, observed: &mut Option<ObservedOwner>) {
    if observed.as_ref().is_some_and(ObservedOwner::is_unreadable) {
        return;
    }
    shared.set_owner(None);
    let now = shared.clock.now();
    *observed = Some(ObservedOwner::new(Holding::Unreadable, 0, now));
}

fn record_owner(
    shared: &Shared,
    observed: &mut Option<ObservedOwner>,
    odd_entries: &mut OddEntries,
    item: Option<&Item>,
) {
    let revision = item.map_or(0, |item| item.revision);
    let previous = observed.as_ref();
    if previous.is_some_and(|previous| !previous.is_unreadable() && previous.revision == revision) {
        return;
    }
    let holding = Holding::after(previous, item);
    let current = ObservedOwner::new(holding, revision, shared.clock.now());
    if current.term().is_none() && revision > 0 {
        odd_entries.skip(key::OWNER, revision);
    }
    let epoch_and_release = |term: Option<&Term>| term.map(|term| (term.epoch, term.is_released));
    let previous_term = previous.and_then(ObservedOwner::term);
    if epoch_and_release(previous_term) != epoch_and_release(current.term()) {
        info!(shared.log, "owner_seen"; "epoch" => current.epoch(),
            "holder" => current.term().map(Term::short_holder), "revision" => revision);
    }
    let owner = current.term().filter(|term| !term.is_released);
    shared.set_owner(owner.cloned());
    *observed = Some(current);
}

/// Returns the time from which the current owner may be replaced.
fn takeover_at(shared: &Shared, observed: &Option<ObservedOwner>) -> Time {
    let Some(observed) = observed else {
        return Time::NEVER;
    };
    let term = match &observed.holding {
        Holding::Absent => return observed.unchanged_since,
        Holding::Term(term) => term,
        // The holder may act until it fails to renew the key.
        Holding::Odd | Holding::Unreadable => {
            return observed.unchanged_since.plus_micros(TAKEOVER_MICROS);
        }
    };
    // No other process uses this address, so the holder is a previous process of this host.
    let is_previous_process = term.address == shared.settings.listen;
    if is_previous_process && !term.is_released {
        return observed.unchanged_since;
    }
    let head_start_micros = match shared.has_larger_candidate() {
        true => HEAD_START_MICROS,
        false => 0,
    };
    let takeover_micros = match term.is_released {
        true => 0,
        false => TAKEOVER_MICROS,
    };
    observed
        .unchanged_since
        .plus_micros(takeover_micros + head_start_micros)
}

async fn take_over(
    shared: &Arc<Shared>,
    observed: &mut Option<ObservedOwner>,
    sightings: &Sightings,
) {
    let Some(last_seen) = observed.take() else {
        return;
    };
    let fence = match read_fence(shared).await {
        Ok(fence) => fence,
        Err(error) => {
            warn!(shared.log, "epoch_unknown"; "error" => %error);
            *observed = Some(last_seen);
            sleep(RETRY_DELAY).await;
            return;
        }
    };
    let epoch = next_epoch(&last_seen, fence.as_ref());
    if last_seen.is_unreadable() {
        replace_unreadable_owner(shared, epoch, fence.as_ref()).await;
        return;
    }
    let term = own_term(shared, epoch);
    let transaction = Transaction::default()
        .expect_revision(key::OWNER, last_seen.revision)
        .put(key::OWNER, term.to_bytes())
        .put(key::FENCE, term.epoch.to_string());
    let sent_at = shared.clock.now();
    match shared
        .store
        .commit(transaction, Instant::now() + CALL_TIMEOUT)
        .await
    {
        Ok(Commit::Done(revision)) => {
            meters::count_takeover();
            info!(shared.log, "ownership_taken"; "epoch" => term.epoch, "revision" => revision);
            shared.set_owner(Some(term.clone()));
            let predecessor = Predecessor {
                acted_until: acted_until(&last_seen, sent_at),
                sightings: sightings.clone(),
            };
            run_owner(shared, term, revision, sent_at, predecessor).await;
        }
        Ok(Commit::Conflict { .. }) => {}
        Err(error) => {
            // If the write was applied, the next read finds the address of this process in the key
            // and allows an immediate takeover.
            warn!(shared.log, "takeover_outcome_unknown"; "epoch" => term.epoch, "error" => %error);
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Returns a time since which the holder of the replaced term has not acted.
fn acted_until(last_seen: &ObservedOwner, replaced_at: Time) -> Time {
    match &last_seen.holding {
        Holding::Term(_) => ownership_until(last_seen.unchanged_since).min(replaced_at),
        _ => replaced_at,
    }
}

fn own_term(shared: &Shared, epoch: Epoch) -> Term {
    let settings = &shared.settings;
    Term {
        epoch,
        holder: settings.name.clone(),
        process: settings.process,
        address: settings.listen,
        is_released: false,
        renewals: 0,
    }
}

/// Returns an epoch that exceeds all earlier ones.
///
/// The term may be older than the fence, which only a takeover writes, so that both count. Without
/// either epoch, it follows from the revisions. An epoch grows by one with each takeover, which is a
/// write, so that it never exceeds the revision at which it was written.
fn next_epoch(last_seen: &ObservedOwner, fence: Option<&Item>) -> Epoch {
    let recorded_epoch = fence.and_then(|item| Term::parse_epoch(&item.value));
    if let Some(epoch) = last_seen.epoch().max(recorded_epoch) {
        return epoch + 1;
    }
    let fence_revision = fence.map_or(0, |item| item.revision);
    fence_revision.max(last_seen.revision) + 1
}

/// Reads the fence, if it exists and can be read.
async fn read_fence(shared: &Shared) -> Result<Option<Item>, Error> {
    let deadline = Instant::now() + CALL_TIMEOUT;
    match shared.store.get(key::FENCE, deadline).await {
        Err(error) if error.kind() == ErrorKind::Protocol => {
            warn!(shared.log, "fence_unreadable"; "error" => %error);
            Ok(None)
        }
        found => found,
    }
}

/// Replaces an owner's key that can't be read by the term of an owner that doesn't exist.
///
/// Its revision is unknown, so that a takeover can't depend on it. The fence is a condition, so that
/// a replacement that is executed late doesn't remove a later owner. The holder, if there is one,
/// fails to renew the term, and has stopped acting when the entries have seen the term unchanged for
/// [`TAKEOVER_MICROS`].
async fn replace_unreadable_owner(shared: &Shared, epoch: Epoch, fence: Option<&Item>) {
    let term = Term {
        address: NO_ADDRESS,
        ..own_term(shared, epoch)
    };
    let mut transaction = Transaction::default().put(key::OWNER, term.to_bytes());
    if let Some(fence) = fence {
        transaction = transaction.expect_revision(key::FENCE, fence.revision);
    }
    let deadline = Instant::now() + CALL_TIMEOUT;
    match shared.store.commit(transaction, deadline).await {
        Ok(Commit::Done(_)) => warn!(shared.log, "unreadable_owner_replaced"; "epoch" => epoch),
        // Another owner has taken over.
        Ok(Commit::Conflict { .. }) => {}
        Err(error) => {
            warn!(shared.log, "replacement_failed"; "epoch" => epoch, "error" => %error);
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Runs the owner until another entry takes over or this one drains.
async fn run_owner(
    shared: &Arc<Shared>,
    mut term: Term,
    mut revision: Revision,
    sent_at: Time,
    predecessor: Predecessor,
) {
    let fence = revision;
    let mut expires_at = ownership_until(sent_at);
    let owner = owner::Owner::start(shared, term.epoch, fence, expires_at, predecessor);
    let mut renew_at = Instant::now() + RENEWAL_INTERVAL;
    let larger_ready = wait_for_larger_candidate(shared);
    tokio::pin!(larger_ready);
    loop {
        tokio::select! {
            () = sleep_until(renew_at) => {}
            () = &mut larger_ready => {
                info!(shared.log, "ownership_handed_over"; "epoch" => term.epoch,
                    "reason" => "an entry on a larger host is ready");
                break;
            }
            () = owner.ended() => {
                warn!(shared.log, "owner_failed"; "epoch" => term.epoch);
                owner.stop();
                release(shared, term, revision).await;
                // Leaves the role to another entry, if there is one.
                sleep(FAILURE_DELAY).await;
                return;
            }
            () = shared.drain.cancelled() => break,
        }
        term.renewals += 1;
        let sent_at = shared.clock.now();
        match renew(shared, &term, revision).await {
            Ok(Commit::Done(next_revision)) => {
                revision = next_revision;
                shared.record_store_response();
                expires_at = ownership_until(sent_at);
                owner.extend_ownership(expires_at).await;
                renew_at = Instant::now() + RENEWAL_INTERVAL;
            }
            Ok(Commit::Conflict { items, .. }) => match own_revision(&items, &term) {
                // An earlier renewal was applied although its response was lost.
                Some(current) => revision = current,
                None => {
                    warn!(shared.log, "ownership_lost"; "epoch" => term.epoch);
                    owner.stop();
                    return;
                }
            },
            Err(error) => {
                warn!(shared.log, "renewal_failed"; "epoch" => term.epoch, "error" => %error);
                if shared.clock.now() >= expires_at && is_key_lost(shared, &term).await {
                    warn!(shared.log, "ownership_lost"; "epoch" => term.epoch);
                    owner.stop();
                    return;
                }
                renew_at = Instant::now() + RETRY_DELAY;
            }
        }
    }
    owner.stop();
    release(shared, term, revision).await;
}

/// Returns once an entry on a much larger host is ready to become the owner.
async fn wait_for_larger_candidate(shared: &Shared) {
    loop {
        sleep(HANDOVER_INTERVAL).await;
        if candidates::is_larger_candidate_ready(shared).await {
            return;
        }
    }
}

async fn renew(shared: &Shared, term: &Term, revision: Revision) -> Result<Commit, Error> {
    let transaction = Transaction::default()
        .expect_revision(key::OWNER, revision)
        .put(key::OWNER, term.to_bytes());
    shared
        .store
        .commit(transaction, Instant::now() + CALL_TIMEOUT)
        .await
}

/// Marks the key as released, so that another entry takes over at once. Retries until the outcome
/// is known or the ownership has expired.
async fn release(shared: &Shared, mut term: Term, mut revision: Revision) {
    term.is_released = true;
    let expires_at = shared.clock.now().plus_micros(OWNERSHIP_MICROS);
    while shared.clock.now() < expires_at {
        match renew(shared, &term, revision).await {
            Ok(Commit::Done(_)) => {
                info!(shared.log, "ownership_released"; "epoch" => term.epoch);
                return;
            }
            Ok(Commit::Conflict { items, .. }) => match own_revision(&items, &term) {
                // An earlier renewal or release was applied although its response was lost.
                Some(current) => revision = current,
                None => return,
            },
            Err(error) => {
                warn!(shared.log, "release_failed"; "epoch" => term.epoch, "error" => %error);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Returns whether the store responds and the key no longer holds this term.
async fn is_key_lost(shared: &Shared, term: &Term) -> bool {
    let deadline = Instant::now() + CALL_TIMEOUT;
    let page = shared.store.page(key::OWNER, "", deadline).await;
    page.is_ok_and(|page| own_revision(&page.items, term).is_none())
}

fn own_revision(items: &[Item], term: &Term) -> Option<Revision> {
    let item = items.iter().find(|item| item.key == key::OWNER)?;
    let current = Term::from_bytes(&item.value)?;
    let is_own = current.epoch == term.epoch && current.process == term.process;
    is_own.then_some(item.revision)
}

const fn ownership_until(sent_at: Time) -> Time {
    sent_at.plus_micros(OWNERSHIP_MICROS)
}
