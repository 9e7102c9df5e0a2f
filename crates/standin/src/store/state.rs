//! Contents of the store, and the injected faults.

mod call_stats;
mod faults;

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use serde_json::{Value, json};
use tokio::time::Instant;

use call_stats::CallStats;
use faults::Faults;

use super::{CallError, Change, Item, Lease};

/// Maximum number of changes kept for watches that resume. A watch that needs older ones fails.
const CHANGE_LOG_MAX: usize = 100_000;

/// Total size of values, in bytes, after which no further change is added to a response.
const CHANGES_BYTES_MAX: usize = 4_000_000;

/// Items by key, log of changes, leases, injected faults and call statistics.
#[derive(Debug, Default)]
pub(super) struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    changes: VecDeque<Change>,
    /// Revision of the newest change that is no longer in the log.
    compacted_revision: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease_id: u64,
    down_since: Option<Instant>,
    /// Revision and items that reads return while they are stale.
    stale_snapshot: Option<(u64, BTreeMap<String, Item>)>,
    pub(super) faults: Faults,
    pub(super) call_stats: CallStats,
}

impl State {
    pub(super) const fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) const fn is_down(&self) -> bool {
        self.down_since.is_some()
    }

    pub(super) fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    pub(super) fn range(&self, prefix: &str) -> Vec<Item> {
        items_with_prefix(&self.items, prefix)
    }

    /// Returns the revision and items that a read sees.
    pub(super) fn read_view(&self) -> (u64, &BTreeMap<String, Item>) {
        match &self.stale_snapshot {
            Some((revision, items)) => (*revision, items),
            None => (self.revision, &self.items),
        }
    }

    /// Writes a key if it has the expected revision, and returns the body of the response.
    pub(super) fn put(
        &mut self,
        key: &str,
        value: &str,
        expected: Option<u64>,
        lease: Option<u64>,
    ) -> Result<Value, CallError> {
        self.check_revision(key, expected)?;
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Err(CallError::LeaseNotFound);
        }
        let revision = self.write(key, value, lease);
        Ok(json!({ "revision": revision }))
    }

    /// Deletes a key if it has the expected revision, and returns the body of the response.
    pub(super) fn delete(&mut self, key: &str, expected: Option<u64>) -> Result<Value, CallError> {
        if !self.items.contains_key(key) {
            return Err(CallError::NotFound);
        }
        self.check_revision(key, expected)?;
        self.remove(key);
        Ok(json!({ "revision": self.revision }))
    }

    /// Checks that `key` has the expected revision, which is 0 for a key that does not exist.
    fn check_revision(&self, key: &str, expected: Option<u64>) -> Result<(), CallError> {
        let current = self.items.get(key);
        let revision = current.map_or(0, |item| item.revision);
        if expected.is_none_or(|expected| expected == revision) {
            return Ok(());
        }
        Err(CallError::Conflict(current.cloned()))
    }

    /// Writes a key unconditionally and returns the new revision.
    pub(super) fn write(&mut self, key: &str, value: &str, lease: Option<u64>) -> u64 {
        self.revision += 1;
        let item = Item {
            key: key.to_owned(),
            value: value.to_owned(),
            revision: self.revision,
            lease,
        };
        self.items.insert(item.key.clone(), item);
        self.append_change(key, Some(value));
        self.revision
    }

    /// Deletes a key unconditionally and returns whether it existed.
    pub(super) fn remove(&mut self, key: &str) -> bool {
        if self.items.remove(key).is_none() {
            return false;
        }
        self.revision += 1;
        self.append_change(key, None);
        true
    }

    /// Appends a change to the log, and drops the oldest one if the log is full.
    fn append_change(&mut self, key: &str, value: Option<&str>) {
        self.changes.push_back(Change {
            key: key.to_owned(),
            value: value.map(str::to_owned),
            revision: self.revision,
        });
        if self.changes.len() > CHANGE_LOG_MAX
            && let Some(oldest) = self.changes.pop_front()
        {
            self.compacted_revision = oldest.revision;
        }
    }

    /// Returns the changes after the revision `after` to keys that start with `prefix`, or `None`
    /// if the log may no longer contain all of them.
    ///
    /// Returns at most `count_max` changes, and stops after the one that reaches
    /// [`CHANGES_BYTES_MAX`].
    pub(super) fn changes_after(
        &self,
        prefix: &str,
        after: u64,
        count_max: usize,
    ) -> Option<Vec<Change>> {
        if after < self.compacted_revision {
            return None;
        }
        let first = self
            .changes
            .partition_point(|change| change.revision <= after);
        let later = self.changes.range(first..);
        let matching = later.filter(|change| change.key.starts_with(prefix));
        let mut bytes = 0;
        let bounded = matching.take_while(|change| {
            let fits = bytes < CHANGES_BYTES_MAX;
            bytes += change.value.as_ref().map_or(0, String::len);
            fits
        });
        Some(bounded.take(count_max).cloned().collect())
    }

    /// Discards the log of changes.
    pub(super) fn compact(&mut self) {
        self.changes.clear();
        self.compacted_revision = self.revision;
    }

    /// Grants a lease and returns its id.
    pub(super) fn grant(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.last_lease_id += 1;
        let deadline = now + ttl;
        self.leases
            .insert(self.last_lease_id, Lease { ttl, deadline });
        self.last_lease_id
    }

    /// Renews a lease and returns its time to live, or `None` if the lease does not exist.
    pub(super) fn keep_alive(&mut self, lease: u64, now: Instant) -> Option<Duration> {
        let lease = self.leases.get_mut(&lease)?;
        lease.deadline = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease and deletes its keys, each with a revision of its own. Returns whether the
    /// lease existed.
    pub(super) fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let attached = self.items.values().filter(|item| item.lease == Some(lease));
        let keys: Vec<String> = attached.map(|item| item.key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
        true
    }

    /// Ends the leases whose deadline has passed, unless the store is down.
    pub(super) fn expire(&mut self, now: Instant) {
        if self.is_down() {
            return;
        }
        let expired = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.deadline <= now);
        let lease_ids: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for lease in lease_ids {
            self.end_lease(lease);
        }
    }

    /// Starts or ends an outage. Extends all leases by its duration, so that they have the same
    /// time left as before.
    pub(super) fn set_down(&mut self, is_down: bool) {
        let now = Instant::now();
        match (self.down_since, is_down) {
            (None, true) => self.down_since = Some(now),
            (Some(since), false) => {
                for lease in self.leases.values_mut() {
                    lease.deadline += now - since;
                }
                self.down_since = None;
            }
            _ => {}
        }
    }

    pub(super) fn set_stale(&mut self, is_stale: bool) {
        self.stale_snapshot = is_stale.then(|| (self.revision, self.items.clone()));
    }
}

/// Returns the items whose key starts with `prefix`.
pub(super) fn items_with_prefix(items: &BTreeMap<String, Item>, prefix: &str) -> Vec<Item> {
    items
        .range(prefix.to_owned()..)
        .take_while(|(key, _)| key.starts_with(prefix))
        .map(|(_, item)| item.clone())
        .collect()
}
