//! Counts of the faults that took effect.

use std::collections::BTreeMap;

/// Faults that a set of runs must exercise. A set that misses one fails, since it has not tested
/// it.
pub const REQUIRED_FAULTS: &[&str] = &[
    "adoption after companion restart",
    "answer dropped",
    "answer of an older epoch",
    "answer repeated",
    "answer to an earlier report",
    "cancellation beside running tasks",
    "cancellation wave",
    "companion restart beside running tasks",
    "end reported again",
    "eviction",
    "grant refused",
    "leaving beside running tasks",
    "owner asked after its lease",
    "owner killed",
    "owner paused past its lease",
    "report delayed over 2 s",
    "report dropped",
    "report repeated",
    "resumed from a checkpoint",
    "runtime ended a task at its lease deadline",
    "start of a former companion took effect",
    "store answer lost after the effect",
    "store down for a write",
    "store write of a former owner refused",
    "store write slow",
    "takeover beside running tasks",
    "task failed",
    "two owners alive",
    "worker lost beside running tasks",
];

/// Number of times each fault took effect, by the fault's name.
#[derive(Debug, Clone, Default)]
pub struct FaultCounts(pub BTreeMap<&'static str, u64>);

impl FaultCounts {
    pub fn increment(&mut self, name: &'static str) {
        *self.0.entry(name).or_default() += 1;
    }

    pub fn merge(&mut self, other: &Self) {
        for (name, count) in &other.0 {
            *self.0.entry(name).or_default() += count;
        }
    }

    /// Returns the required faults that never took effect.
    pub fn missing_faults(&self) -> Vec<&'static str> {
        let is_missing = |name: &&&'static str| !self.0.contains_key(**name);
        REQUIRED_FAULTS.iter().filter(is_missing).copied().collect()
    }
}
