//! Statistics of calls.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use tokio::time::Instant;

use crate::store::Call;

/// Maximum number of arrival times kept. Older ones are dropped to bound the memory of a long demo.
const ARRIVAL_TIMES_MAX: usize = 100_000;

/// Number of calls that arrived, by kind, and the arrival times of the latest ones.
#[derive(Debug, Default)]
pub(in crate::store) struct CallStats {
    counts: BTreeMap<Call, u64>,
    arrival_times: VecDeque<Instant>,
}

impl CallStats {
    pub(in crate::store) fn record(&mut self, call: Call, now: Instant) {
        *self.counts.entry(call).or_default() += 1;
        self.arrival_times.push_back(now);
        if self.arrival_times.len() > ARRIVAL_TIMES_MAX {
            self.arrival_times.pop_front();
        }
    }

    pub(in crate::store) fn count(&self, call: Call) -> u64 {
        self.counts.get(&call).copied().unwrap_or(0)
    }

    pub(in crate::store) fn total(&self) -> u64 {
        self.counts.values().sum()
    }

    /// Returns the maximum number of calls since `since` within any period of length `window`.
    pub(in crate::store) fn max_calls_within(&self, since: Instant, window: Duration) -> usize {
        let times: Vec<Instant> = self
            .arrival_times
            .iter()
            .filter(|at| **at >= since)
            .copied()
            .collect();
        let mut first = 0;
        let mut max_count = 0;
        for (last, at) in times.iter().enumerate() {
            while *at - times[first] >= window {
                first += 1;
            }
            max_count = max_count.max(last + 1 - first);
        }
        max_count
    }
}
