//! The record of silent hosts.

use toucanquay_control::{
    scheduler::Scheduler,
    silence::{Record, Tracker, Unreached},
};

use super::super::at;
use super::{SESSION_TIMEOUT_MS, SIGHTING_INTERVAL_MS, Simulation, WRITE_MS};

impl Simulation {
    /// Ends the session with an agent that has been silent for long enough.
    pub(super) fn notice_silence(&mut self, index: usize) {
        let (now, now_ms) = (self.time(), self.now_ms);
        let host = &mut self.hosts[index];
        let is_of_owner = host.session == self.owner.as_ref().map(Scheduler::epoch);
        if is_of_owner && now < host.next_update_at.plus_millis(SESSION_TIMEOUT_MS) {
            return;
        }
        host.session = None;
        host.unreached_since.get_or_insert(now_ms);
        if let Some(owner) = &mut self.owner {
            owner.disconnect(&host.name);
        }
    }

    /// Tells a new owner which hosts its predecessors didn't hear.
    pub(super) fn load_silences(&mut self, owner: &mut Scheduler) -> Tracker {
        // The former owner's write is fenced from now on.
        self.silence_write = None;
        let (written_at, record) = &self.silence_record;
        let seen_at = written_at.next_multiple_of(SIGHTING_INTERVAL_MS);
        let seen_at = seen_at.min(self.now_ms);
        for (name, remaining_ms) in &record.remaining_ms {
            owner.end_leases_by(name, at(seen_at + remaining_ms));
        }
        Tracker::new(record.revision, record.remaining_ms.keys().cloned())
    }

    /// Writes the record of silent hosts, which may arrive after its owner is lost.
    pub(super) fn write_silences(&mut self) {
        let Some((_, record)) = self.silence_write.take_if(|(due, _)| *due <= self.now_ms) else {
            return;
        };
        self.revision += 1;
        assert_eq!(
            record.revision, self.silence_record.1.revision,
            "a record replaces one of another revision"
        );
        let written = Record {
            revision: self.revision,
            ..record
        };
        self.silence_record = (self.now_ms, written);
        self.tracker.record_written(self.revision);
    }

    pub(super) fn record_silences(&mut self) {
        let Some(owner) = &self.owner else {
            return;
        };
        let unreached = self.hosts.iter().filter_map(|host| {
            Some(Unreached {
                host: host.name.clone(),
                since: at(host.unreached_since?),
                lease_end: owner.lease_end_bound(&host.name),
            })
        });
        let unreached: Vec<Unreached> = unreached.collect();
        let (hosts, now) = (self.hosts.len(), self.time());
        if let Some(record) = self.tracker.next_record(&unreached, hosts, now) {
            self.silence_write = Some((self.now_ms + WRITE_MS, record));
        }
    }
}
