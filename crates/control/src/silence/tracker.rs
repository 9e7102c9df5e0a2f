//! What the stored record may hold.

use std::collections::{BTreeMap, BTreeSet};

use toucanquay_model::{Revision, Time};

use super::Record;

/// Minimum time between two records that only name more hosts, in microseconds. Hosts often fall
/// silent together.
const WRITE_INTERVAL_MICROS: u64 = 500_000;

/// Tracks which hosts the stored record may name.
#[derive(Debug, Default)]
pub struct Tracker {
    revision: Revision,
    named: BTreeSet<String>,
    /// Hosts in the record that is being written.
    writing: Option<BTreeSet<String>>,
    next_write_at: Time,
}

impl Tracker {
    /// Returns the state after a record was found that names these hosts.
    #[must_use]
    pub fn new(revision: Revision, named: impl IntoIterator<Item = String>) -> Self {
        Self {
            revision,
            named: named.into_iter().collect(),
            ..Self::default()
        }
    }

    /// Returns whether the record may name a host, so that no orders may be sent to it.
    #[must_use]
    pub fn may_name(&self, host: &str) -> bool {
        let is_written = self
            .writing
            .as_ref()
            .is_some_and(|hosts| hosts.contains(host));
        is_written || self.named.contains(host)
    }

    /// Returns the record to write if it must name other hosts than the present one. `silent` are
    /// the silent hosts with the time by which their leases must have ended.
    pub fn next_record(&mut self, silent: &BTreeMap<String, Time>, now: Time) -> Option<Record> {
        let has_returned = self.named.iter().any(|host| !silent.contains_key(host));
        let has_more = silent.keys().any(|host| !self.named.contains(host));
        let is_due = has_returned || (has_more && now >= self.next_write_at);
        if self.writing.is_some() || !is_due {
            return None;
        }
        self.next_write_at = now.plus_micros(WRITE_INTERVAL_MICROS);
        self.writing = Some(silent.keys().cloned().collect());
        let remaining = |at: &Time| at.micros_since(now).div_ceil(1_000);
        let remaining_ms = silent
            .iter()
            .map(|(host, at)| (host.clone(), remaining(at)));
        Some(Record {
            revision: self.revision,
            remaining_ms: remaining_ms.collect(),
        })
    }

    /// Processes that the last record was written at a revision.
    pub fn record_written(&mut self, revision: Revision) {
        self.revision = revision;
        self.named = self.writing.take().unwrap_or_default();
    }

    /// Processes that the last record was not written, because the present one has another revision.
    /// Nobody else names hosts, so that the hosts of both count as named.
    pub fn record_rejected(&mut self, revision: Revision) {
        self.revision = revision;
        self.named.extend(self.writing.take().unwrap_or_default());
    }
}
