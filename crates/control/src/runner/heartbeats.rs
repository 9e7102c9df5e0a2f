//! Processing of what the worker says of itself.

use toucanquay_model::{Incarnation, Time};

use super::{Heartbeat, Runner};

impl Runner {
    /// Processes a heartbeat of the worker. Returns whether it changed the known state or announced
    /// another incarnation.
    ///
    /// Heartbeats of a former incarnation and those that arrive out of order are ignored. One of a
    /// later incarnation may come from another writer, so that it takes effect only when a list of
    /// the worker confirms it: until then, the known incarnation holds. An incarnation that has
    /// started at an earlier time of day can't be told from a former one, before it is listed.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, now: Time) -> bool {
        let born = heartbeat.worker.incarnation;
        if born > self.births.current() {
            return self.announce_incarnation(heartbeat, now);
        }
        if born < self.births.current() || self.has_worker_exited {
            return false;
        }
        let is_known = self.worker.is_some();
        let is_other = heartbeat.id != self.worker_id || heartbeat.sequence <= self.last_heartbeat;
        if is_known && is_other {
            return false;
        }
        self.last_heartbeat = heartbeat.sequence;
        self.worker_id = heartbeat.id;
        let mut worker = heartbeat.worker;
        worker.incarnation = self.incarnation;
        // An incarnation that has begun to drain doesn't return to service.
        worker.is_draining |= self
            .worker
            .as_ref()
            .is_some_and(|former| former.is_draining);
        let is_changed = self.worker.as_ref() != Some(&worker);
        self.worker = Some(worker);
        is_changed
    }

    /// Keeps a heartbeat of a later incarnation. Returns whether it is the first one.
    fn announce_incarnation(&mut self, heartbeat: Heartbeat, now: Time) -> bool {
        let incarnation = heartbeat.worker.incarnation;
        let former = self.unconfirmed_heartbeat.replace(heartbeat);
        let is_first = former.is_none_or(|former| former.worker.incarnation != incarnation);
        if is_first {
            self.announced_at = Some(now);
        }
        is_first
    }

    /// Processes the deregistration of the worker, which exits. One of another incarnation is
    /// ignored. Returns whether the worker has exited.
    pub fn deregister_worker(&mut self, id: &str, incarnation: Option<Incarnation>) -> bool {
        let is_current =
            incarnation.is_none_or(|born| born == self.births.current() && !self.has_worker_exited);
        if self.worker_id != id || !is_current {
            return false;
        }
        self.end_incarnation();
        true
    }
}
