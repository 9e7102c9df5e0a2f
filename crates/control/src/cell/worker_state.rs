//! State of one worker of a cell.

use toucanquay_model::{
    Attempt, Incarnation, Resources, Revision, Time, exchange::Stop, task, worker,
};

use super::key::RunKey;

/// The owner's state for one worker.
#[derive(Debug, Clone)]
pub(super) struct WorkerState {
    pub(super) id: worker::Id,
    pub(super) incarnation: Incarnation,
    /// Sequence number of the last report.
    pub(super) sequence: u64,
    /// Configuration revision that the companion holds.
    pub(super) revision: Revision,
    pub(super) capacity: Resources,
    /// Whether the worker drains and gets no grants.
    pub(super) is_leaving: bool,
    /// Whether the companion refuses grants because starts of a former incarnation may still take
    /// effect.
    pub(super) is_settling: bool,
    /// Arrival of the last report.
    pub(super) last_report_at: Time,
    /// The last report, if it was not answered yet.
    pub(super) unanswered: Option<Unanswered>,
    /// Whether the answer has to be sent without delay.
    pub(super) is_answer_urgent: bool,
    /// Latest time at which a start granted to this incarnation can take effect.
    pub(super) starts_until: Time,
    /// Latest time at which a start granted to a former incarnation can take effect.
    pub(super) former_starts_until: Time,
    /// Earliest time of its next grant.
    pub(super) next_grant_at: Time,
    /// Attempts that may hold resources of the worker.
    pub(super) runs: Vec<RunKey>,
    /// Resources held by attempts that are not the current ones of their tasks.
    pub(super) untracked: Resources,
    /// Stops to send for attempts that are not the current ones of their tasks.
    pub(super) untracked_stops: Vec<Stop>,
    /// Ended attempts that the companion may forget, to be sent with the next answer.
    pub(super) acknowledged: Vec<(task::Id, Attempt)>,
}

/// A report that was not answered yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct Unanswered {
    pub(super) sequence: u64,
    pub(super) received_at: Time,
}

impl WorkerState {
    pub(super) const fn new(
        id: worker::Id,
        incarnation: Incarnation,
        former_starts_until: Time,
        now: Time,
    ) -> Self {
        Self {
            id,
            incarnation,
            sequence: 0,
            revision: 0,
            capacity: Resources::ZERO,
            is_leaving: false,
            is_settling: false,
            last_report_at: now,
            unanswered: None,
            is_answer_urgent: false,
            starts_until: Time::ZERO,
            former_starts_until,
            next_grant_at: Time::ZERO,
            runs: Vec::new(),
            untracked: Resources::ZERO,
            untracked_stops: Vec::new(),
            acknowledged: Vec::new(),
        }
    }
}
