//! Jobs with their waiting and running tasks.

use std::collections::{BTreeMap, HashMap};

use foldhash::fast::RandomState;
use toucanquay_model::Time;

use super::{Job, order::OrderKey, run::Run};

/// A job that has waiting or running tasks.
#[derive(Debug, Clone)]
pub(super) struct JobEntry {
    pub job: Job,
    pub team: usize,
    pub kind: usize,
    pub sequence: u64,
    /// Waiting tasks by index, with the run time of their earlier attempts in microseconds.
    pub waiting: BTreeMap<u32, u64>,
    pub runs: HashMap<u32, Run, RandomState>,
    /// Run times of stopped attempts of tasks that have not been pushed again yet.
    pub awaiting_retry: BTreeMap<u32, u64>,
    /// Service attained by ended attempts and charged to running ones, in processor-microseconds.
    pub attained_service: u64,
    /// Since when the job waits without a start.
    pub waiting_since: Time,
    /// Whether the job was removed, so that stopped tasks are not expected back.
    pub is_removed: bool,
    /// Where the job stands in the order, if it does.
    pub order_key: Option<OrderKey>,
}

impl JobEntry {
    pub fn new(job: Job, team: usize, kind: usize, sequence: u64, now: Time) -> Self {
        Self {
            job,
            team,
            kind,
            sequence,
            waiting: BTreeMap::new(),
            runs: HashMap::default(),
            awaiting_retry: BTreeMap::new(),
            attained_service: 0,
            waiting_since: now,
            is_removed: false,
            order_key: None,
        }
    }

    /// Tells whether nothing of the job waits, runs or is about to be pushed again.
    pub fn is_done(&self) -> bool {
        self.waiting.is_empty() && self.runs.is_empty() && self.awaiting_retry.is_empty()
    }

    /// Returns when the next task must start so that the rest finishes by the deadline, if there is
    /// a deadline that has not passed. `slack_micros` is kept in hand.
    pub fn start_by(&self, run_micros: u64, slack_micros: u64, now: Time) -> Option<Time> {
        /// Tasks of one job that are assumed to run at once even if fewer do now.
        const ASSUMED_PARALLELISM: usize = 4;
        let finish_by = self.job.finish_by.filter(|deadline| *deadline > now)?;
        let waves = self
            .waiting
            .len()
            .div_ceil(self.runs.len().max(ASSUMED_PARALLELISM));
        let needed = run_micros
            .saturating_mul(waves as u64)
            .saturating_add(slack_micros);
        Some(Time::from_micros(
            finish_by.as_micros().saturating_sub(needed),
        ))
    }
}
