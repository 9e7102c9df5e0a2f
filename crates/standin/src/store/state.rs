//! Content of the store, and its faults.

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

/// Changes kept for watches that resume. A watch that is further behind is refused.
const CHANGE_LOG_MAX: usize = 100_000;

/// Bytes of values after which no more changes are put into one answer.
const CHANGES_BYTES_MAX: usize = 4_000_000;

/// Items by key, the log of changes, leases, faults and counts.
#[derive(Debug, Default)]
pub(super) struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    changes: VecDeque<Change>,
    compacted_revision: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease_id: u64,
    down_since: Option<Instant>,
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

    /// Returns the revision and content that reads are answered from.
    pub(super) fn read_view(&self) -> (u64, &BTreeMap<String, Item>) {
        match &self.stale_snapshot {
            Some((revision, items)) => (*revision, items),
            None => (self.revision, &self.items),
        }
    }

    /// Writes a key when it is as expected, and returns the answer's body.
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

    /// Deletes a key when it is as expected, and returns the answer's body.
    pub(super) fn delete(&mut self, key: &str, expected: Option<u64>) -> Result<Value, CallError> {
        if !self.items.contains_key(key) {
            return Err(CallError::NotFound);
        }
        self.check_revision(key, expected)?;
        self.remove(key);
        Ok(json!({ "revision": self.revision }))
    }

    /// Compares the revision of `key`, 0 for an absent one, with the expected one.
    fn check_revision(&self, key: &str, expected: Option<u64>) -> Result<(), CallError> {
        let current = self.items.get(key);
        let revision = current.map_or(0, |item| item.revision);
        if expected.is_none_or(|expected| expected == revision) {
            return Ok(());
        }
        Err(CallError::Conflict(current.cloned()))
    }

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

    pub(super) fn remove(&mut self, key: &str) -> bool {
        if self.items.remove(key).is_none() {
            return false;
        }
        self.revision += 1;
        self.append_change(key, None);
        true
    }

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

    /// Returns the changes after `after`, or `None` when some of them are no longer kept.
    ///
    /// There are at most `most` of them, and no more than about [`CHANGES_BYTES_MAX`].
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

    pub(super) fn compact(&mut self) {
        self.changes.clear();
        self.compacted_revision = self.revision;
    }

    pub(super) fn grant(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.last_lease_id += 1;
        let deadline = now + ttl;
        self.leases
            .insert(self.last_lease_id, Lease { ttl, deadline });
        self.last_lease_id
    }

    /// Returns the lease's time to live, or `None` when it has ended.
    pub(super) fn keep_alive(&mut self, lease: u64, now: Instant) -> Option<Duration> {
        let lease = self.leases.get_mut(&lease)?;
        lease.deadline = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease and deletes its keys, each as a write.
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

    /// Begins or ends an outage. Leases have the same time left after it as before it.
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

/// Returns the items whose key begins with `prefix`.
pub(super) fn items_with_prefix(items: &BTreeMap<String, Item>, prefix: &str) -> Vec<Item> {
    items
        .range(prefix.to_owned()..)
        .take_while(|(key, _)| key.starts_with(prefix))
        .map(|(_, item)| item.clone())
        .collect()
}
