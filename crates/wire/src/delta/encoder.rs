//! Encoding of updates as differences.

use std::collections::BTreeMap;

use toucanquay_model::{
    Incarnation,
    graph::Task,
    session::{AttemptStatus, Update, Worker},
};

use super::{Change, Delta};

/// Agent's memory of what it has sent in a session.
#[derive(Debug)]
pub struct Encoder {
    worker: Option<Worker>,
    attempts: BTreeMap<(Task, u64), Sent>,
    next_slot: u32,
    /// Number of the last end that was sent for the incarnation of the worker.
    last_end: u64,
    incarnation: Option<Incarnation>,
}

/// An attempt as it was sent last.
#[derive(Debug)]
struct Sent {
    slot: u32,
    status: AttemptStatus,
}

impl Encoder {
    /// Returns the encoder of a session whose first update was sent whole.
    #[must_use]
    pub fn new(first: &Update) -> Self {
        let mut encoder = Self {
            worker: first.worker.clone(),
            attempts: BTreeMap::new(),
            next_slot: 0,
            last_end: 0,
            incarnation: None,
        };
        for status in &first.runs {
            encoder.add(status);
        }
        encoder.unsent_ends_after(first);
        encoder
    }

    /// Encodes the next update.
    ///
    /// Without `is_complete`, measurements, checkpoints and the progress of attempts that were
    /// listed before are left out unless the update has a sample. They are part of the next
    /// complete update.
    pub fn encode(&mut self, update: Update, is_complete: bool) -> Delta {
        let is_complete = is_complete || update.has_sample;
        let after = self.unsent_ends_after(&update);
        let worker = (self.worker != update.worker).then(|| update.worker.clone());
        if worker.is_some() {
            self.worker.clone_from(&update.worker);
        }
        let removed = self.remove_unlisted(&update);
        let (mut added, mut changed) = (Vec::new(), Vec::new());
        for status in update.runs {
            let Some(sent) = self.attempts.get_mut(&(status.task, status.attempt)) else {
                added.push((self.add(&status), status));
                continue;
            };
            let is_due = is_complete
                || sent.status.phase != status.phase
                || sent.status.has_survived_start != status.has_survived_start;
            if is_due && sent.status != status {
                changed.push(Change::new(sent.slot, &sent.status, &status));
                sent.status = status;
            }
        }
        let mut ends = update.ends;
        ends.retain(|end| end.number > after);
        Delta {
            number: update.number,
            stamp: update.stamp,
            epoch: update.epoch,
            applied: update.applied,
            is_settled: update.is_settled,
            has_sample: update.has_sample,
            worker,
            is_worker_silent: update.is_worker_silent,
            added,
            changed,
            removed,
            ends,
            crashes: update.crashes,
        }
    }

    fn add(&mut self, status: &AttemptStatus) -> u32 {
        let slot = self.next_slot;
        self.next_slot += 1;
        let sent = Sent {
            slot,
            status: status.clone(),
        };
        self.attempts.insert((status.task, status.attempt), sent);
        slot
    }

    fn remove_unlisted(&mut self, update: &Update) -> Vec<u32> {
        let listed = update.runs.iter().map(|run| (run.task, run.attempt));
        let listed: std::collections::BTreeSet<(Task, u64)> = listed.collect();
        let unlisted = self.attempts.extract_if(.., |key, _| !listed.contains(key));
        unlisted.map(|(_, sent)| sent.slot).collect()
    }

    /// Returns the number of the last end that need not be sent, and counts the update's ends as
    /// sent. The owner ignores ends without a worker, so these are sent again.
    fn unsent_ends_after(&mut self, update: &Update) -> u64 {
        let incarnation = update.worker.as_ref().map(|worker| worker.incarnation);
        if self.incarnation != incarnation {
            self.incarnation = incarnation;
            self.last_end = 0;
        }
        let after = self.last_end;
        if incarnation.is_some() {
            let last = update.ends.iter().map(|end| end.number).max();
            self.last_end = after.max(last.unwrap_or(0));
        }
        after
    }
}
