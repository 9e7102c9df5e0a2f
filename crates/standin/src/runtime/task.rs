//! Tasks.

use std::time::Duration;

use tokio::time::Instant;
use toucanquay_model::{Attempt, Resources};

use super::{Payload, Start, State};

/// An attempt that was started, with the work it has done.
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
    done: Duration,
    counted_until: Instant,
    /// Index of the current entry in the record of intervals.
    pub(super) interval: usize,
}

impl Task {
    /// Returns the running attempt that `start` asks for, resumed from its checkpoint.
    pub(super) fn new(start: Start, now: Instant) -> Self {
        let checkpoint = start.checkpoint.as_deref();
        let done = checkpoint.and_then(|text| text.parse().ok()).unwrap_or(0);
        Self {
            attempt: start.attempt(),
            payload: Payload::parse(&start.payload),
            resources: start.resources(),
            state: State::Running,
            reason: None,
            lease_deadline: now + start.lease(),
            share_percent: 100,
            done: Duration::from_millis(done),
            counted_until: now,
            interval: 0,
            kind: start.kind,
        }
    }

    pub(super) fn is_running(&self) -> bool {
        self.state == State::Running
    }

    /// Returns the milliseconds of work done, as text.
    pub(super) fn checkpoint(&self) -> String {
        self.done.as_millis().to_string()
    }

    /// Counts the work done until `now`, and ends the task when it is complete or its lease
    /// deadline has passed. Returns the time at which it ended.
    pub(super) fn advance(&mut self, now: Instant) -> Option<Instant> {
        if !self.is_running() {
            return None;
        }
        let until = now.min(self.lease_deadline).max(self.counted_until);
        let left = Duration::from_millis(self.payload.run_ms).saturating_sub(self.done);
        let needed = left * 100 / self.share_percent.max(1);
        if self.share_percent > 0 && self.counted_until + needed <= until {
            let ended = self.counted_until + needed;
            self.done += left;
            self.complete();
            return Some(ended);
        }
        self.done += (until - self.counted_until) * self.share_percent / 100;
        self.counted_until = until;
        if now >= self.lease_deadline {
            self.state = State::Lapsed;
            return Some(until);
        }
        None
    }

    /// Skips the time until `now`, in which the task did not run.
    pub(super) fn skip_until(&mut self, now: Instant) {
        self.counted_until = now;
    }

    fn complete(&mut self) {
        self.reason.clone_from(&self.payload.fail);
        self.state = match self.reason {
            Some(_) => State::Failed,
            None => State::Finished,
        };
    }
}
