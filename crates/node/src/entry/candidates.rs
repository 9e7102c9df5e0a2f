//! Registration of this entry, and discovery of the others.
//!
//! Any entry can become the owner, but a small host may be unable to keep up with a large fleet.
//! Entries therefore register the capacity of their hosts. One that knows a much larger host leaves
//! it a head start in an election, and hands its ownership over to it.

use std::sync::Arc;

use slog::{debug, info};
use smallvec::SmallVec;
use tokio::time::{Duration, Instant, sleep, timeout};
use toucanquay_model::Error;
use toucanquay_wire::{
    Frame,
    graph::{Query, Reply},
};

use super::{Shared, candidate::Candidate, odd_entries::OddEntries};
use crate::{key, store::Transaction};

/// Ratio of capacities from which the larger host is preferred as the owner.
const PREFERRED_CAPACITY_RATIO: u32 = 2;

/// Interval between two lists of the candidates.
const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// Interval between two lists until the first one that contains this entry.
const FIRST_LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Delay before a failed removal is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs until the entry drains, and then removes its registration.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut odd_entries = OddEntries::new(shared.log.clone());
    while !shared.drain.is_cancelled() {
        let delay = match refresh(&shared, &mut odd_entries).await {
            Ok(true) => LIST_INTERVAL,
            Ok(false) => FIRST_LIST_INTERVAL,
            Err(error) => {
                debug!(shared.log, "candidates_unknown"; "error" => %error);
                FIRST_LIST_INTERVAL
            }
        };
        let drained = shared.drain.cancelled();
        // It returns early when the entry drains.
        let _ = timeout(delay, drained).await;
    }
    deregister(&shared).await;
    shared.deregistered.cancel();
}

/// Lists the candidates, and registers this entry unless it is listed. Returns whether it was
/// listed.
async fn refresh(shared: &Shared, odd_entries: &mut OddEntries) -> Result<bool, Error> {
    let listing = shared.store.list(key::ENTRIES);
    let Some(listed) = shared.drain.run_until_cancelled(listing).await else {
        return Ok(false);
    };
    let items = listed?.items;
    let own_key = key::entry(&shared.settings.name);
    let own = own_candidate(shared);
    let parsed = items.iter().filter_map(|item| {
        let candidate = Candidate::from_bytes(&item.value);
        if candidate.is_none() {
            odd_entries.skip(&item.key, item.revision);
        }
        Some((item.key.as_str(), candidate?))
    });
    let candidates: Vec<(&str, Candidate)> = parsed.collect();
    let (mut larger, mut peers, mut is_listed) = (Vec::new(), SmallVec::new(), false);
    for (key, candidate) in candidates {
        if key == own_key {
            is_listed = candidate == own;
            continue;
        }
        if candidate.address == own.address {
            // No other process uses this address. To hand the ownership over would be to keep it.
            debug!(shared.log, "candidate_ignored"; "address" => %candidate.address);
            continue;
        }
        peers.push(candidate.address);
        if candidate.capacity >= own.capacity.saturating_mul(PREFERRED_CAPACITY_RATIO) {
            larger.push(candidate);
        }
    }
    shared.set_larger_candidates(larger);
    shared.set_peers(peers);
    if !is_listed {
        let registration = Transaction::default().put(own_key, own.to_bytes());
        let deadline = Instant::now() + CALL_TIMEOUT;
        shared.store.commit(registration, deadline).await?;
    }
    Ok(is_listed)
}

fn own_candidate(shared: &Shared) -> Candidate {
    Candidate {
        address: shared.settings.listen,
        process: shared.settings.process,
        capacity: shared.settings.capacity,
    }
}

/// Removes the registration of this entry, which stops. Retries until it is removed; otherwise, the
/// other entries would leave this one a head start until it returns.
async fn deregister(shared: &Shared) {
    while let Err(error) = remove_registration(shared).await {
        info!(shared.log, "candidate_not_removed"; "error" => %error);
        sleep(RETRY_DELAY).await;
    }
}

async fn remove_registration(shared: &Shared) -> Result<(), Error> {
    let removal = Transaction::default().remove(key::entry(&shared.settings.name));
    let deadline = Instant::now() + CALL_TIMEOUT;
    shared.store.commit(removal, deadline).await?;
    Ok(())
}

/// Returns whether one of the larger candidates is ready to become the owner.
pub(super) async fn is_larger_candidate_ready(shared: &Shared) -> bool {
    for candidate in shared.larger_candidates() {
        let deadline = Instant::now() + CALL_TIMEOUT;
        let frame = Frame::Graph(Query::IsReady);
        let reply = shared.pool.call(candidate.address, &frame, deadline).await;
        match reply {
            Ok(Frame::GraphReply(Reply::Ready(true))) => return true,
            Ok(_) => {}
            Err(error) => debug!(shared.log, "candidate_unreachable";
                "address" => %candidate.address, "error" => %error),
        }
    }
    false
}
