//! Loads a new owner's state from the store.

use std::collections::{HashMap, HashSet};

use futures_util::{StreamExt, TryStreamExt, stream};
use slog::{info, warn};
use tokio::time::{Duration, Instant, sleep};
use toucanquay_control::{
    scheduler::{RestoredJob, Scheduler, Settings},
    silence::Tracker,
};
use toucanquay_model::{
    Epoch, Error, ErrorKind, Revision,
    graph::{AcceptedJob, Id},
};

use super::{
    Registration, Shared, evacuations, odd_entries::OddEntries, predecessor::Predecessor,
    silent_hosts, withdrawal::Withdrawal,
};
use crate::{
    key,
    store::{Item, List, PAGE_TIMEOUT},
};

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of records that are read concurrently.
const CONCURRENT_READS_MAX: usize = 16;

/// Recorded progress by job; `None` for a record that can't be read.
type RecordedProgress = HashMap<Id, Option<RestoredJob>>;

/// State of a new owner, loaded from the store.
#[derive(Debug)]
pub(super) struct LoadedState {
    pub(super) scheduler: Scheduler,
    pub(super) hosts: Vec<(String, Registration)>,
    /// Hosts in the record of silent hosts.
    pub(super) silences: Tracker,
    /// Jobs that must not run because their progress can't be read.
    pub(super) withheld_jobs: HashSet<Id>,
    /// Revisions that wrote the stored jobs.
    pub(super) job_revisions: HashMap<Id, Revision>,
    /// Withdrawn identifiers, with the revisions that withdrew them.
    pub(super) withdrawn: Vec<(Id, Revision)>,
    /// Revision after which to watch accepted jobs and cancellations.
    pub(super) intake_revision: Revision,
    /// Revision after which to watch the registrations of companions.
    pub(super) hosts_revision: Revision,
}

/// Loads the state, retrying until it succeeds.
pub(super) async fn load(
    shared: &Shared,
    epoch: Epoch,
    fence: Revision,
    predecessor: &Predecessor,
) -> LoadedState {
    let mut odd_entries = OddEntries::new(shared.log.clone());
    loop {
        match try_load(shared, epoch, fence, predecessor, &mut odd_entries).await {
            Ok(loaded) => return loaded,
            Err(error) => {
                warn!(shared.log, "takeover_delayed"; "epoch" => epoch, "error" => %error);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn try_load(
    shared: &Shared,
    epoch: Epoch,
    fence: Revision,
    predecessor: &Predecessor,
    odd_entries: &mut OddEntries,
) -> Result<LoadedState, Error> {
    let store = &shared.store;
    let (record_revision, silent_hosts) = silent_hosts::read(shared, fence).await?;
    let host_list = store.list(key::HOSTS).await?;
    let intake = store.list(key::INTAKE).await?;
    let progress_list = store.list(key::PROGRESS).await?;
    let hosts = host_list.items.iter().filter_map(parse_host);
    let hosts: Vec<(String, Registration)> = hosts.collect();
    let now = shared.clock.now();
    let names = host_names(&host_list, odd_entries);
    let retention = shared.settings.job_retention;
    let evacuations = shared.settings.evacuations.as_ref();
    let settings = Settings {
        evacuation_age_micros_max: evacuations.map(evacuations::age_micros_max),
        retention_micros: u64::try_from(retention.as_micros()).unwrap_or(u64::MAX),
        far_percent: shared.settings.far_percent,
        ..Settings::default()
    };
    let mut scheduler = Scheduler::new(settings, epoch, names, now);
    scheduler.set_wall_clock(shared.clock.unix_ms(), now);
    scheduler.end_orders_by(predecessor.acted_until);
    let recorded_at = predecessor.sightings.seen_at(record_revision);
    for (host, remaining_ms) in &silent_hosts {
        let lease_end = recorded_at.unwrap_or(now).plus_millis(*remaining_ms);
        scheduler.end_leases_by(host, lease_end);
    }
    let mut progress = progress_by_job(&progress_list);
    if progress_list.unreadable.iter().any(String::is_empty) {
        odd_entries.skip(key::PROGRESS, 0);
        read_missing_progress(shared, &intake, fence, &mut progress).await?;
    }
    let mut withheld_jobs = HashSet::new();
    let mut withdrawn = Vec::new();
    let mut job_revisions = HashMap::new();
    for item in &intake.items {
        if let Some(id) = parse_withdrawal(item) {
            withdrawn.push((id, item.revision));
            continue;
        }
        if let Some(id) = parse_id(item, key::CANCELS) {
            scheduler.cancel(id, now);
        }
        let Some((id, accepted_job)) = parse_accepted_job(item) else {
            if !item.key.starts_with(key::CANCELS) {
                odd_entries.skip(&item.key, item.revision);
            }
            continue;
        };
        job_revisions.insert(id, item.revision);
        if item.revision >= fence {
            scheduler.accept(id, accepted_job, now);
            continue;
        }
        match progress.remove(&id) {
            Some(None) => {
                warn!(shared.log, "job_withheld"; "job" => %id, "epoch" => epoch,
                    "reason" => "its progress can't be read");
                withheld_jobs.insert(id);
            }
            found => {
                let restored = found.flatten().unwrap_or_default();
                scheduler.restore(id, accepted_job, restored, now);
            }
        }
    }
    info!(shared.log, "state_loaded"; "epoch" => epoch, "jobs" => scheduler.active_jobs(),
        "withdrawn" => withdrawn.len(), "hosts" => hosts.len(), "silent_hosts" => silent_hosts.len(),
        "revision" => intake.revision);
    Ok(LoadedState {
        scheduler,
        hosts,
        silences: Tracker::new(record_revision, silent_hosts.into_keys()),
        withheld_jobs,
        job_revisions,
        withdrawn,
        intake_revision: intake.revision,
        hosts_revision: host_list.revision,
    })
}

/// Returns the recorded progress of jobs; `None` for a record that can't be read.
fn progress_by_job(list: &List) -> RecordedProgress {
    let readable = list
        .items
        .iter()
        .map(|item| (&item.key, decode_progress(item)));
    let unreadable = list.unreadable.iter().map(|key| (key, None));
    let with_id = |(key, restored): (&String, _)| {
        let id = key.strip_prefix(key::PROGRESS)?.parse().ok()?;
        Some((id, restored))
    };
    readable.chain(unreadable).filter_map(with_id).collect()
}

fn decode_progress(item: &Item) -> Option<RestoredJob> {
    let progress = serde_json::from_slice(&item.value).ok()?;
    let revision = item.revision;
    Some(RestoredJob { progress, revision })
}

/// Reads the progress of each job accepted before the fence that the list doesn't contain, because
/// an entry without a readable key may be its record.
async fn read_missing_progress(
    shared: &Shared,
    intake: &List,
    fence: Revision,
    progress: &mut RecordedProgress,
) -> Result<(), Error> {
    let is_earlier = |item: &&Item| item.revision < fence && !Withdrawal::is_in(&item.value);
    let earlier = intake.items.iter().filter(is_earlier);
    let ids = earlier.filter_map(|item| parse_id(item, key::JOBS));
    let missing: Vec<Id> = ids.filter(|id| !progress.contains_key(id)).collect();
    let reads = missing.into_iter().map(|id| async move {
        let deadline = Instant::now() + PAGE_TIMEOUT;
        let found = match shared.store.get(&key::progress(id), deadline).await {
            Ok(None) => return Ok(None),
            Ok(Some(item)) => decode_progress(&item),
            Err(error) if error.kind() == ErrorKind::Protocol => None,
            Err(error) => return Err(error),
        };
        Ok(Some((id, found)))
    });
    let found: Vec<_> = stream::iter(reads)
        .buffer_unordered(CONCURRENT_READS_MAX)
        .try_collect()
        .await?;
    progress.extend(found.into_iter().flatten());
    Ok(())
}

/// Returns the names of all registered hosts. Tasks may also run on a host whose registration can't
/// be read.
fn host_names(list: &List, odd_entries: &mut OddEntries) -> Vec<String> {
    for item in list.items.iter().filter(|item| parse_host(item).is_none()) {
        odd_entries.skip(&item.key, item.revision);
    }
    for key in &list.unreadable {
        odd_entries.skip(key, 0);
    }
    let keys = list.items.iter().map(|item| &item.key);
    let name = |key: &String| key.strip_prefix(key::HOSTS).unwrap_or_default().to_owned();
    keys.chain(&list.unreadable).map(name).collect()
}

/// Parses the host name and the registration of a companion.
pub(super) fn parse_host(item: &Item) -> Option<(String, Registration)> {
    let name = item.key.strip_prefix(key::HOSTS)?;
    Some((name.to_owned(), Registration::from_bytes(&item.value)?))
}

/// Parses the job identifier that follows the prefix in the item's key.
pub(super) fn parse_id(item: &Item, prefix: &str) -> Option<Id> {
    item.key.strip_prefix(prefix)?.parse().ok()
}

/// Parses the withdrawn identifier if the item is a [`Withdrawal`].
pub(super) fn parse_withdrawal(item: &Item) -> Option<Id> {
    let id = parse_id(item, key::JOBS)?;
    Withdrawal::is_in(&item.value).then_some(id)
}

/// Parses an accepted job. Returns `None` for one that no entry accepts, for example with too many
/// tasks.
pub(super) fn parse_accepted_job(item: &Item) -> Option<(Id, AcceptedJob)> {
    let id = parse_id(item, key::JOBS)?;
    Some((id, decode_accepted_job(&item.value)?))
}

/// Decodes the record of an accepted job. Returns `None` if it is malformed, or if the job is
/// invalid and thus wasn't accepted by an entry.
pub(super) fn decode_accepted_job(record: &[u8]) -> Option<AcceptedJob> {
    let accepted_job: AcceptedJob = serde_json::from_slice(record).ok()?;
    accepted_job.job.check().ok()?;
    Some(accepted_job)
}
