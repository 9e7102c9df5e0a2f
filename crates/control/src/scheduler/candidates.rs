//! Hosts that fit the tasks of one stage.

use std::{cmp::Ordering, collections::BinaryHeap};

use super::key::HostKey;

/// Amount by which the score of the host on which the last attempt of a task failed is lowered.
pub(super) const AVOIDED_HOST_PENALTY: f64 = 20.0;

/// Hosts that fit one more task of a stage, ordered by score.
///
/// All tasks of a stage have the same requirements, so each host is scored once, and again only
/// when a task has been placed on it.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    heap: BinaryHeap<Candidate>,
}

impl Candidates {
    /// Adds a host.
    pub(super) fn push(&mut self, host: HostKey, score: f64) {
        self.heap.push(Candidate { score, host });
    }

    /// Returns whether no host fits.
    pub(super) fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    /// Drops the hosts that don't meet a condition, unless none meets it.
    pub(super) fn prefer(&mut self, is_preferred: impl Fn(HostKey) -> bool) {
        let mut candidates = self.heap.iter();
        if candidates.any(|candidate| is_preferred(candidate.host)) {
            self.heap.retain(|candidate| is_preferred(candidate.host));
        }
    }

    /// Removes and returns the best host for a task. The host that the task avoids is returned only
    /// if no other one is nearly as good.
    pub(super) fn pop(&mut self, avoided: Option<HostKey>) -> Option<HostKey> {
        let best = self.heap.pop()?;
        if avoided != Some(best.host) {
            return Some(best.host);
        }
        let Some(next) = self.heap.pop() else {
            return Some(best.host);
        };
        let (selected, other) = if next.score > best.score - AVOIDED_HOST_PENALTY {
            (next, best)
        } else {
            (best, next)
        };
        self.heap.push(other);
        Some(selected.host)
    }
}

#[derive(Debug)]
struct Candidate {
    score: f64,
    host: HostKey,
}

impl Ord for Candidate {
    /// Orders by score. Of hosts with the same score, the one that was added to the scheduler first
    /// is the greatest.
    fn cmp(&self, other: &Self) -> Ordering {
        let by_score = self.score.total_cmp(&other.score);
        by_score.then_with(|| other.host.cmp(&self.host))
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Candidate {}
