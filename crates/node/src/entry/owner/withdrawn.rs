//! Withdrawals in the store, until their retention ends.

use std::collections::{HashMap, VecDeque};

use toucanquay_model::{Revision, Time, graph::Id};

/// Withdrawn identifiers that the owner removes from the store after their retention.
#[derive(Debug, Default)]
pub(super) struct Withdrawn {
    revisions: HashMap<Id, Revision>,
    /// Identifiers in the order in which their retention ends.
    expiries: VecDeque<(Time, Id)>,
}

impl Withdrawn {
    /// Adds a withdrawal that was written at a revision, unless it is known.
    pub(super) fn insert(&mut self, id: Id, revision: Revision, expires_at: Time) {
        if self.revisions.insert(id, revision).is_none() {
            self.expiries.push_back((expires_at, id));
        }
    }

    /// Takes the withdrawals whose retention has ended, with the revisions that wrote them.
    pub(super) fn take_expired(&mut self, now: Time) -> Vec<(Id, Revision)> {
        let expired = self.expiries.partition_point(|(at, _)| *at <= now);
        let ids = self.expiries.drain(..expired);
        ids.filter_map(|(_, id)| Some((id, self.revisions.remove(&id)?)))
            .collect()
    }

    /// Returns the number of withdrawals.
    pub(super) fn len(&self) -> usize {
        self.revisions.len()
    }
}
