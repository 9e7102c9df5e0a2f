//! Begin and end of the worker's incarnations.

use toucanquay_model::{
    Incarnation, Time,
    session::{Crash, Suspect},
};

use super::{Exit, Refusals, Runner};

/// Maximum number of crashes that are kept for the owner. Older ones are dropped.
const CRASHES_MAX: usize = 8;

impl Runner {
    /// Processes a refused connection to the worker. Returns whether its process counts as exited
    /// from now on.
    pub fn record_refusal(&mut self, now: Time) -> bool {
        if !self.refusals.record(now) {
            return false;
        }
        if self.worker.is_some() || self.is_worker_unannounced() {
            self.exit = Some(Exit {
                incarnation: self.incarnation,
                born: self.births.current(),
                worker: self.worker.clone(),
                recorded_at: now,
            });
            self.record_crash();
        }
        // Nothing runs on a worker that this process has not seen, either.
        self.end_incarnation();
        self.is_exit_confirmed = true;
        true
    }

    /// Records that the worker has answered a call, so that its address doesn't refuse all
    /// connections.
    pub fn record_answer(&mut self) {
        self.refusals = Refusals::default();
    }

    /// Records that the worker's process has exited, because its address refuses connections. It has
    /// crashed unless it was draining.
    pub fn mark_worker_exited(&mut self) {
        self.record_crash();
        self.end_incarnation();
        self.is_exit_confirmed = true;
    }

    pub(super) fn end_incarnation(&mut self) {
        self.worker = None;
        self.has_worker_exited = true;
        self.runs.clear();
        self.unlisted_profiles.clear();
        self.ends.clear();
        // Later messages of the same incarnation are delayed ones and must be ignored.
        self.incarnation = self.incarnation.saturating_add(1);
        self.reset_incarnation();
    }

    /// Records a crash of the worker, with the attempts that may have caused it.
    fn record_crash(&mut self) {
        if self
            .worker
            .as_ref()
            .is_some_and(|worker| worker.is_draining)
        {
            return;
        }
        let suspects = self.runs.iter().filter(|(_, state)| state.is_suspect());
        let suspects: Vec<Suspect> = suspects
            .map(|((task, attempt), state)| Suspect {
                task: *task,
                attempt: *attempt,
                is_started: state.begun_at.is_some(),
            })
            .collect();
        if suspects.is_empty() {
            return;
        }
        if self.crashes.len() == CRASHES_MAX {
            self.crashes.remove(0);
        }
        self.crashes.push(Crash {
            worker: self.incarnation,
            suspects,
        });
    }

    /// Takes a worker back into use whose exit is refuted by a list, which shows what it runs. The
    /// owner has given up its attempts, and stops those that it doesn't know.
    pub(super) fn refute_exit(&mut self, exit: Exit) {
        self.incarnation = exit.incarnation;
        self.crashes.retain(|crash| crash.worker < exit.incarnation);
        self.worker = exit.worker;
        self.has_worker_exited = false;
        self.is_exit_confirmed = false;
        self.reset_incarnation();
    }

    /// Begins the life of the worker that has started at `born` by its machine's time of day.
    pub(super) fn begin_incarnation(&mut self, born: Incarnation, now: Time) {
        self.record_crash();
        let former = self.incarnation;
        let next = if self.has_worker_exited {
            former
        } else {
            former.saturating_add(1)
        };
        self.incarnation = next.max(born);
        self.births.begin(born);
        self.exit = None;
        self.worker = None;
        self.has_worker_exited = false;
        self.is_exit_confirmed = false;
        self.runs.clear();
        self.unlisted_profiles.clear();
        self.ends.clear();
        self.reset_incarnation();
        let confirmed = self
            .unconfirmed_heartbeat
            .take_if(|heartbeat| heartbeat.worker.incarnation <= born);
        if let Some(heartbeat) = confirmed {
            self.record_heartbeat(heartbeat, now);
        }
    }

    const fn reset_incarnation(&mut self) {
        self.last_heartbeat = 0;
        self.last_listed_end = 0;
        self.acknowledged = 0;
        self.listed_at = None;
        self.announced_at = None;
        self.failed_lists = 0;
        self.is_worker_silent = false;
        self.has_complete_list = false;
        self.fenced_epoch = 0;
    }
}
