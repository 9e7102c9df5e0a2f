//! State of one job of a cell.

use std::collections::BTreeMap;

use toucanquay_model::{
    Time,
    job::{Spec, Status},
    task,
};

use super::{TaskSet, Token, record::Record, task_state::Task};

/// State of one job of a cell.
#[derive(Debug, Clone)]
pub(super) struct Job {
    pub(super) spec: Spec,
    /// Position in the order of submission.
    pub(super) order: u64,
    /// Index of the segment that stores it.
    pub(super) segment: usize,
    /// Upper bound of its size in the segment, in bytes.
    pub(super) bytes: usize,
    pub(super) is_durable: bool,
    /// Whether the result of a write that contains it is unknown.
    pub(super) is_ambiguous: bool,
    pub(super) is_cancelled: bool,
    /// Until this time, attempts may run that the owner does not know.
    pub(super) unknown_attempts_until: Time,
    /// Whether its tasks wait for the end of the takeover.
    pub(super) is_awaiting_takeover: bool,
    pub(super) finished: TaskSet,
    pub(super) failed: TaskSet,
    pub(super) evictions: u32,
    /// Number of attempts that hold a lease.
    pub(super) running: u32,
    /// Number of attempts that hold a lease and whose start is not confirmed.
    pub(super) unconfirmed: u32,
    pub(super) tasks: Vec<Task>,
    /// Records of tasks that were evicted or have failed, each with the index of its segment.
    pub(super) records: BTreeMap<u32, (usize, Record)>,
    /// Calls whose cancellation is durable but not acknowledged yet.
    pub(super) durable_cancellations: Vec<Token>,
    /// When the sweep first found it ended.
    pub(super) ended_at: Option<Time>,
}

impl Job {
    pub(super) fn new(spec: Spec, order: u64, unknown_attempts_until: Time) -> Self {
        let tasks = vec![Task::default(); spec.tasks as usize];
        Self {
            spec,
            order,
            segment: 0,
            bytes: 0,
            is_durable: false,
            is_ambiguous: false,
            is_cancelled: false,
            unknown_attempts_until,
            is_awaiting_takeover: false,
            finished: TaskSet::default(),
            failed: TaskSet::default(),
            evictions: 0,
            running: 0,
            unconfirmed: 0,
            tasks,
            records: BTreeMap::new(),
            durable_cancellations: Vec::new(),
            ended_at: None,
        }
    }

    pub(super) fn task_id(&self, index: u32) -> task::Id {
        task::Id::new(self.spec.id.clone(), index)
    }

    pub(super) fn is_done(&self, index: u32) -> bool {
        self.finished.contains(index) || self.failed.contains(index)
    }

    pub(super) const fn has_ended(&self) -> bool {
        let is_all_done = self.finished.count() + self.failed.count() == self.spec.tasks;
        self.running == 0 && (self.is_cancelled || is_all_done)
    }

    pub(super) fn status(&self, unfit: Option<String>) -> Status {
        let done = self.finished.count() + self.failed.count();
        let waiting = if self.is_cancelled {
            0
        } else {
            self.spec.tasks.saturating_sub(done + self.running)
        };
        Status {
            id: self.spec.id.clone(),
            team: self.spec.team.clone(),
            kind: self.spec.kind.clone(),
            tasks: self.spec.tasks,
            waiting,
            running: self.running,
            finished: self.finished.count(),
            failed: self.failed.count(),
            evictions: self.evictions,
            is_cancelled: self.is_cancelled,
            unfit,
        }
    }
}
