//! Scheduling order of the waiting jobs.

use std::collections::BTreeSet;
use std::ops::Bound::{Excluded, Unbounded};

use slotmap::new_key_type;
use toucanquay_model::{Time, job::Urgency};

new_key_type! {
    /// Key of a job in the backlog.
    pub(super) struct JobKey;
}

/// Number of priority levels by attained service within each urgency class.
pub(super) const LEVELS: usize = 4;

const URGENCIES: usize = 3;

/// Properties that determine the position of a job in the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct OrderKey {
    pub urgency: Urgency,
    pub level: usize,
    /// Increases with each new job, so that each level is first-in-first-out.
    pub sequence: u64,
    /// Latest start of the next task that still meets the deadline.
    pub start_by: Option<Time>,
    /// Time since which the job has waited without a start.
    pub waiting_since: Time,
}

impl OrderKey {
    const fn queue_index(&self) -> usize {
        let urgency = match self.urgency {
            Urgency::Urgent => 0,
            Urgency::Normal => 1,
            Urgency::Idle => 2,
        };
        urgency * LEVELS + self.level
    }
}

/// Position of an iteration over the order. It stays valid when jobs are inserted, removed or
/// moved.
#[derive(Debug, Clone, Default)]
pub(super) struct Cursor {
    stage: usize,
    ranked: Option<(u64, JobKey)>,
    starved: Option<(Time, JobKey)>,
}

/// Waiting jobs, indexed by priority, by latest start and by waiting time.
#[derive(Debug, Clone, Default)]
pub(super) struct Order {
    queues: [BTreeSet<(u64, JobKey)>; URGENCIES * LEVELS],
    start_by: BTreeSet<(Time, JobKey)>,
    waiting_since: BTreeSet<(Time, JobKey)>,
}

impl Order {
    pub fn insert(&mut self, key: JobKey, order_key: &OrderKey) {
        self.queues[order_key.queue_index()].insert((order_key.sequence, key));
        self.waiting_since.insert((order_key.waiting_since, key));
        if let Some(start_by) = order_key.start_by {
            self.start_by.insert((start_by, key));
        }
    }

    pub fn remove(&mut self, key: JobKey, order_key: &OrderKey) {
        self.queues[order_key.queue_index()].remove(&(order_key.sequence, key));
        self.waiting_since.remove(&(order_key.waiting_since, key));
        if let Some(start_by) = order_key.start_by {
            self.start_by.remove(&(start_by, key));
        }
    }

    /// Returns the next job by urgency, deadline and level.
    pub fn next_ranked(&self, cursor: &mut Cursor, now: Time) -> Option<JobKey> {
        // Stage LEVELS covers jobs that are close to their deadline. It follows the urgent queues.
        while cursor.stage <= self.queues.len() {
            let next = match cursor.stage {
                stage if stage == LEVELS => self.next_due(cursor.ranked, now),
                stage => {
                    let queue = stage - usize::from(stage > LEVELS);
                    next_after(&self.queues[queue], cursor.ranked)
                }
            };
            if let Some(entry) = next {
                cursor.ranked = Some(entry);
                return Some(entry.1);
            }
            cursor.stage += 1;
            cursor.ranked = None;
        }
        None
    }

    /// Returns the next job, longest wait first, whose `waiting_since` satisfies `is_starved`.
    pub fn next_starved(
        &self,
        cursor: &mut Cursor,
        is_starved: impl Fn(Time) -> bool,
    ) -> Option<JobKey> {
        let entry = next_after(&self.waiting_since, cursor.starved)?;
        if !is_starved(entry.0) {
            return None;
        }
        cursor.starved = Some(entry);
        Some(entry.1)
    }

    fn next_due(&self, last: Option<(u64, JobKey)>, now: Time) -> Option<(u64, JobKey)> {
        let last = last.map(|(micros, key)| (Time::from_micros(micros), key));
        let (start_by, key) = next_after(&self.start_by, last)?;
        (start_by <= now).then_some((start_by.as_micros(), key))
    }
}

/// Returns the smallest element greater than `last`, or the first element without `last`.
fn next_after<T: Ord + Copy>(set: &BTreeSet<T>, last: Option<T>) -> Option<T> {
    let start = last.map_or(Unbounded, Excluded);
    set.range((start, Unbounded)).next().copied()
}
