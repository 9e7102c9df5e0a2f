//! Jobs and the state of their tasks.

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
    /// Running tasks by index.
    pub runs: HashMap<u32, Run, RandomState>,
    /// Earlier run time, in microseconds, of tasks whose attempt ended and that have not been
    /// pushed again yet.
    pub awaiting_retry: BTreeMap<u32, u64>,
    /// Service of ended attempts plus the amount charged up front for running ones, in
    /// processor-microseconds.
    pub attained_service: u64,
    /// Time of the last start, or of the last push to a job without waiting tasks, whichever is
    /// later.
    pub waiting_since: Time,
    /// Whether the job was removed, so that its stopped tasks will not be retried.
    pub is_removed: bool,
    /// Position in the order, or `None` if the job is not in it.
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

    /// Returns whether no task of the job is waiting, running or awaiting a retry.
    pub fn is_done(&self) -> bool {
        self.waiting.is_empty() && self.runs.is_empty() && self.awaiting_retry.is_empty()
    }

    /// Returns the latest start of the next task at which the waiting tasks still finish
    /// `slack_micros` before the deadline, or `None` without a future deadline.
    pub fn start_by(&self, run_micros: u64, slack_micros: u64, now: Time) -> Option<Time> {
        /// Parallelism assumed for a job even if fewer of its tasks are running now.
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
