//! A worker that guards nothing: it starts whatever it is told to, within its lease.

use std::collections::BTreeMap;

use toucanquay_control::runner::{AttemptList, CallOutcome, ListedAttempt};
use toucanquay_model::{
    Time,
    graph::Task,
    session::{End, Ending},
};

/// Longest time for which an attempt works, in milliseconds.
const WORK_MS_MAX: u64 = 1_500;

/// Time for which a few attempts work, in milliseconds.
const WORK_MS_ENDLESS: u64 = 12_000;

/// An attempt that runs.
#[derive(Debug, Clone)]
pub struct Work {
    /// When it is done.
    pub done_at: Time,
    /// When a stop takes effect.
    pub stop_at: Time,
    /// It fails instead of being done.
    pub is_failing: bool,
}

/// One worker.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Incarnation.
    pub life: u64,
    /// Attempts that run.
    pub running: BTreeMap<(Task, u64), Work>,
    /// Highest attempt of a task that was stopped or has ended.
    barred: BTreeMap<Task, u64>,
    finished: Vec<End>,
    ends: u64,
    lease_until: Time,
    epoch: u64,
}

impl Worker {
    /// Returns a worker that has just started.
    pub const fn new(life: u64) -> Self {
        Self {
            life,
            running: BTreeMap::new(),
            barred: BTreeMap::new(),
            finished: Vec::new(),
            ends: 0,
            lease_until: Time::ZERO,
            epoch: 0,
        }
    }

    /// Starts an attempt. `random` decides how long it works and whether it fails.
    pub fn start(
        &mut self,
        (task, attempt): (Task, u64),
        epoch: u64,
        lease_until: Time,
        random: u64,
        now: Time,
    ) -> CallOutcome {
        let is_barred = self
            .barred
            .get(&task)
            .is_some_and(|barred| attempt <= *barred);
        if epoch < self.epoch || is_barred || now >= lease_until {
            return CallOutcome::Refused;
        }
        self.epoch = epoch;
        self.lease_until = self.lease_until.max(lease_until);
        self.running.entry((task, attempt)).or_insert(Work {
            // A few tasks would never end by themselves within a run.
            done_at: now.plus_millis(match random % 97 {
                0 => WORK_MS_ENDLESS,
                _ => 50 + random % WORK_MS_MAX,
            }),
            stop_at: Time::NEVER,
            is_failing: random.is_multiple_of(29),
        });
        CallOutcome::Done
    }

    /// Stops an attempt.
    pub fn stop(&mut self, task: Task, attempt: u64, now: Time) -> CallOutcome {
        let barred = self.barred.entry(task).or_default();
        *barred = (*barred).max(attempt);
        for ((running, number), work) in &mut self.running {
            if *running == task && *number <= attempt {
                work.stop_at = now.plus_millis(100);
            }
        }
        CallOutcome::Done
    }

    /// Renews the lease, forgets acknowledged ends and lists.
    pub fn hold(
        &mut self,
        epoch: u64,
        lease_until: Time,
        acknowledged: u64,
        called_at: Time,
    ) -> AttemptList {
        self.epoch = self.epoch.max(epoch);
        self.lease_until = self.lease_until.max(lease_until);
        self.finished.retain(|end| end.number > acknowledged);
        let running = self.running.keys().map(|(task, attempt)| ListedAttempt {
            task: *task,
            attempt: *attempt,
            checkpoint: None,
            done_percent: 50,
            gauge: 0,
        });
        AttemptList {
            incarnation: self.life,
            epoch,
            called_at,
            running: running.collect(),
            finished: self.finished.clone(),
        }
    }

    /// Lets time pass. Returns the tasks that are done or have failed.
    pub fn advance(&mut self, now: Time) -> Vec<(Task, Ending)> {
        let mut over = Vec::new();
        let ended: Vec<((Task, u64), Ending)> = self
            .running
            .iter()
            .filter_map(|(key, work)| Some((*key, self.ending(work, now)?)))
            .collect();
        for ((task, attempt), ending) in ended {
            self.running.remove(&(task, attempt));
            let barred = self.barred.entry(task).or_default();
            *barred = (*barred).max(attempt);
            self.ends += 1;
            self.finished.push(End {
                number: self.ends,
                task,
                attempt,
                ending,
                checkpoint: None,
            });
            if matches!(ending, Ending::Done | Ending::Failed) {
                over.push((task, ending));
            }
        }
        over
    }

    fn ending(&self, work: &Work, now: Time) -> Option<Ending> {
        if now >= self.lease_until {
            return Some(Ending::Expired);
        }
        if now >= work.stop_at {
            return Some(Ending::Stopped);
        }
        let ending = if work.is_failing {
            Ending::Failed
        } else {
            Ending::Done
        };
        (now >= work.done_at).then_some(ending)
    }
}
