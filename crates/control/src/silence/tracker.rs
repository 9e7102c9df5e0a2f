//! What the stored record may hold.

use std::collections::{BTreeMap, BTreeSet};

use toucanquay_model::{Revision, Time};

use super::{Record, Unreached};

/// Minimum time between two records that only name more hosts, in microseconds. Hosts often fall
/// silent together.
const WRITE_INTERVAL_MICROS: u64 = 500_000;

/// The same if a host has returned, which gets no orders until then.
const RETURN_INTERVAL_MICROS: u64 = 50_000;

/// Time without a session after which a host is silent, in microseconds.
const SILENT_MICROS: u64 = 250_000;

/// The same if most hosts are unreached: sessions to them are probably being opened.
const MOSTLY_SILENT_MICROS: u64 = 1_000_000;

/// Maximum number of hosts in a record. It keeps the record far below the size that a store takes;
/// no host gets orders while a record that names it can't be written.
const HOSTS_MAX: usize = 1_000;

/// Tracks which hosts the stored record may name.
#[derive(Debug, Default)]
pub struct Tracker {
    revision: Revision,
    named: BTreeSet<String>,
    /// Hosts in the record that is being written.
    writing: Option<BTreeSet<String>>,
    written_at: Time,
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

    /// Returns the record to write if it must name other hosts than the present one. `hosts` is the
    /// number of all hosts.
    pub fn next_record(
        &mut self,
        unreached: &[Unreached],
        hosts: usize,
        now: Time,
    ) -> Option<Record> {
        if self.writing.is_some() {
            return None;
        }
        let silent = self.silent_hosts(unreached, hosts, now);
        let has_returned = self.named.iter().any(|host| !silent.contains_key(host));
        let has_more = silent.keys().any(|host| !self.named.contains(host));
        let interval_micros = match has_returned {
            true => RETURN_INTERVAL_MICROS,
            false => WRITE_INTERVAL_MICROS,
        };
        let is_due = now >= self.written_at.plus_micros(interval_micros);
        if !is_due || !(has_returned || has_more) {
            return None;
        }
        self.written_at = now;
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

    /// Returns the hosts to record, with the time by which their leases must have ended. One that is
    /// named and unreached stays, also if another owner has named it.
    fn silent_hosts(
        &self,
        unreached: &[Unreached],
        hosts: usize,
        now: Time,
    ) -> BTreeMap<String, Time> {
        let is_silent = |host: &&Unreached, micros| now >= host.since.plus_micros(micros);
        let silent = unreached.iter();
        let silent = silent.filter(|host| is_silent(host, SILENT_MICROS));
        let micros = match 2 * silent.count() > hosts {
            true => MOSTLY_SILENT_MICROS,
            false => SILENT_MICROS,
        };
        let is_kept = |host: &&Unreached| self.named.contains(&host.host);
        let recorded = unreached
            .iter()
            .filter(|host| is_silent(host, micros) || is_kept(host));
        let recorded: BTreeMap<String, Time> = recorded
            .map(|host| (host.host.clone(), host.lease_end))
            .collect();
        recorded.into_iter().take(HOSTS_MAX).collect()
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
