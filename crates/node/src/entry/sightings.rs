//! Revisions of the store, by the time at which this entry saw them.

use std::collections::VecDeque;

use toucanquay_model::{Revision, Time};

/// Time for which sightings are kept, in microseconds. It exceeds the longest lease.
const KEPT_MICROS: u64 = 10_000_000;

/// Revisions that this entry has seen, each higher than the one before, with the time of the first
/// sight.
#[derive(Debug, Clone, Default)]
pub(super) struct Sightings(VecDeque<(Revision, Time)>);

impl Sightings {
    /// Records that the store has a revision.
    pub(super) fn record(&mut self, revision: Revision, now: Time) {
        let last_revision = self.0.back().map(|(last_revision, _)| *last_revision);
        if last_revision.is_some_and(|last_revision| last_revision >= revision) {
            return;
        }
        self.0.push_back((revision, now));
        let is_old = |(_, at): &(Revision, Time)| now >= at.plus_micros(KEPT_MICROS);
        while self.0.front().is_some_and(is_old) {
            self.0.pop_front();
        }
    }

    /// Returns a time by which the store had a revision, if there is one.
    pub(super) fn seen_at(&self, revision: Revision) -> Option<Time> {
        let mut sightings = self.0.iter();
        let found = sightings.find(|(seen, _)| *seen >= revision);
        found.map(|(_, at)| *at)
    }
}
