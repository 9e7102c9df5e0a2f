//! Task with its simulated progress.

use std::time::Duration;

use tokio::time::Instant;
use toucanquay_model::{Attempt, Resources};

use super::{Payload, StartRequest, State};

/// Started attempt of a task, with its progress.
#[derive(Debug)]
pub(super) struct Task {
    pub(super) attempt: Attempt,
    pub(super) kind: String,
    pub(super) payload: Payload,
    pub(super) resources: Resources,
    pub(super) state: State,
    pub(super) reason: Option<String>,
    pub(super) lease_deadline: Instant,
    pub(super) share_percent: u32,
    work_done: Duration,
    /// Time up to which `work_done` has been updated.
    progress_until: Instant,
    /// Index of the task's latest entry in the list of run intervals.
    pub(super) interval_index: usize,
}

impl Task {
    /// Creates a running attempt from a start request, resumed from the checkpoint if there is one.
    pub(super) fn new(start: StartRequest, now: Instant) -> Self {
        let checkpoint = start.checkpoint.as_deref();
        let work_done = checkpoint.and_then(|text| text.parse().ok()).unwrap_or(0);
        Self {
            attempt: start.attempt(),
            payload: Payload::parse(&start.payload),
            resources: start.resources(),
            state: State::Running,
            reason: None,
            lease_deadline: now + start.lease(),
            share_percent: 100,
            work_done: Duration::from_millis(work_done),
            progress_until: now,
            interval_index: 0,
            kind: start.kind,
        }
    }

    pub(super) fn is_running(&self) -> bool {
        self.state == State::Running
    }

    /// Returns the checkpoint: the milliseconds of work done, as text.
    pub(super) fn checkpoint(&self) -> String {
        self.work_done.as_millis().to_string()
    }

    /// Updates the progress to `now`, and ends the task if its work is complete or its lease
    /// deadline has passed. Returns the time at which the task ended, if it did.
    pub(super) fn advance(&mut self, now: Instant) -> Option<Instant> {
        if !self.is_running() {
            return None;
        }
        let until = now.min(self.lease_deadline).max(self.progress_until);
        let work_left = Duration::from_millis(self.payload.run_ms).saturating_sub(self.work_done);
        let time_needed = work_left * 100 / self.share_percent.max(1);
        if self.share_percent > 0 && self.progress_until + time_needed <= until {
            let ended_at = self.progress_until + time_needed;
            self.work_done += work_left;
            self.complete();
            return Some(ended_at);
        }
        self.work_done += (until - self.progress_until) * self.share_percent / 100;
        self.progress_until = until;
        if now >= self.lease_deadline {
            self.state = State::Lapsed;
            return Some(until);
        }
        None
    }

    /// Excludes the time up to `now` from the progress, because the task did not run in it.
    pub(super) fn skip_until(&mut self, now: Instant) {
        self.progress_until = now;
    }

    fn complete(&mut self) {
        self.reason.clone_from(&self.payload.fail);
        self.state = match self.reason {
            Some(_) => State::Failed,
            None => State::Finished,
        };
    }
}
