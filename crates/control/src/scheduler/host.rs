//! State of one host and its worker.

use std::{
    cell::OnceCell,
    collections::{BTreeMap, VecDeque},
};

use smallvec::SmallVec;
use toucanquay_model::{
    Incarnation, Resources, Time,
    graph::Step,
    session::{InterferenceEffect, Profile, Start, Stop, Worker},
};

use super::{
    CrashRecord, Run,
    headroom::Headroom,
    key::{JobKey, RunKey},
};

/// Owner's view of one host.
#[derive(Debug)]
pub(super) struct Host {
    pub(super) name: String,
    /// Incarnation of the agent's process.
    pub(super) agent_incarnation: Incarnation,
    /// Incarnation of the last known worker process; 0 before the first one and after its loss.
    pub(super) worker_incarnation: Incarnation,
    pub(super) worker: Option<Worker>,
    /// The last known worker process has begun to drain.
    pub(super) is_worker_draining: bool,
    /// The agent has reported that the worker is silent, and nothing else about it since.
    pub(super) is_worker_silent: bool,
    pub(super) is_connected: bool,
    /// No update of the current session that contains a worker has been processed yet.
    pub(super) is_first_update: bool,
    /// The agent has restarted since the host's attempts were last compared with its update.
    pub(super) is_agent_restarted: bool,
    pub(super) update_number: u64,
    /// Agent's own time when it sent the last processed update; zero if that has no worker, so that
    /// orders extend no lease.
    pub(super) update_stamp: Time,
    /// When that update was processed.
    pub(super) update_received_at: Time,
    /// If the worker's zone is evacuated, the last time at which it was known not to be;
    /// [`Time::ZERO`] if it never was.
    pub(super) evacuated_after: Option<Time>,
    /// Time after which every lease of the host has ended, so that none of its attempts can still
    /// be running.
    pub(super) lease_end_bound: Time,
    pub(super) runs: Vec<RunKey>,
    pub(super) used: Resources,
    /// Resources of the attempts that are on the worker but not in [`runs`](Self::runs).
    pub(super) untracked: Resources,
    /// Processors that attempts use if they are idle, in thousandths.
    pub(super) idle_milli: u32,
    /// Processors of latency-sensitive attempts, in thousandths.
    pub(super) sensitive_milli: u32,
    pub(super) orders_sent: u64,
    pub(super) orders_sent_at: Time,
    pub(super) starts: Vec<Start>,
    pub(super) stops: Vec<Stop>,
    pub(super) profiles: Vec<(Stop, Profile)>,
    /// Interference effects to send with the next orders.
    pub(super) effects: Vec<InterferenceEffect>,
    /// Last effect sent or queued for each pair of a sensitive image and another one, in
    /// hundredths.
    pub(super) effects_sent: BTreeMap<(usize, usize), u16>,
    /// Number of the last end that has been processed.
    pub(super) last_end: u64,
    /// Number of the last end that can be acknowledged, since its job's change is recorded.
    pub(super) acknowledged: u64,
    /// Number of the last end that was acknowledged in orders.
    pub(super) acknowledged_sent: u64,
    /// Ends that are not acknowledged: the number of the end, its job, and the version of the job
    /// that must be recorded before the end is acknowledged.
    pub(super) unacknowledged_ends: VecDeque<(u64, JobKey, u64)>,
    /// Incarnation of the last crashed worker that has been processed.
    pub(super) last_crash: Incarnation,
    /// When the last crash with suspects was reported.
    pub(super) crashed_at: Option<Time>,
    /// Incarnation of the last crashed worker whose suspects are recorded.
    pub(super) crashes_acknowledged: Incarnation,
    /// The same, as acknowledged in orders.
    pub(super) crashes_acknowledged_sent: Incarnation,
    /// Crashes that are not acknowledged.
    pub(super) unacknowledged_crashes: VecDeque<CrashRecord>,
    /// Distinct jobs that have failed on the worker since the last success.
    pub(super) failing_jobs: SmallVec<[JobKey; 4]>,
    pub(super) avoid_until: Time,
    /// When a faster host for a slow attempt is searched next.
    pub(super) move_search_at: Time,
    /// Until when the host is avoided because its agent has rejected a start.
    pub(super) rejected_until: Time,
    /// Placement round that first saw the host's last change after which more tasks may fit.
    pub(super) changed_in: u64,
    /// Headroom of the sensitive attempts, by image. Empty until it is needed after a change.
    pub(super) headrooms: OnceCell<SmallVec<[Headroom; 4]>>,
}

impl Host {
    pub(super) fn new(name: String) -> Self {
        Self {
            name,
            agent_incarnation: 0,
            worker_incarnation: 0,
            worker: None,
            is_worker_draining: false,
            is_worker_silent: false,
            is_connected: false,
            is_first_update: true,
            is_agent_restarted: false,
            update_number: 0,
            update_stamp: Time::ZERO,
            update_received_at: Time::ZERO,
            evacuated_after: None,
            lease_end_bound: Time::ZERO,
            runs: Vec::new(),
            used: Resources::ZERO,
            untracked: Resources::ZERO,
            idle_milli: 0,
            sensitive_milli: 0,
            orders_sent: 0,
            orders_sent_at: Time::ZERO,
            starts: Vec::new(),
            stops: Vec::new(),
            profiles: Vec::new(),
            effects: Vec::new(),
            effects_sent: BTreeMap::new(),
            last_end: 0,
            acknowledged: 0,
            acknowledged_sent: 0,
            unacknowledged_ends: VecDeque::new(),
            last_crash: 0,
            crashed_at: None,
            crashes_acknowledged: 0,
            crashes_acknowledged_sent: 0,
            unacknowledged_crashes: VecDeque::new(),
            failing_jobs: SmallVec::new(),
            avoid_until: Time::ZERO,
            move_search_at: Time::ZERO,
            rejected_until: Time::ZERO,
            changed_in: 0,
            headrooms: OnceCell::new(),
        }
    }

    /// Returns the worker if it accepts tasks.
    pub(super) fn schedulable_worker(&self) -> Option<&Worker> {
        self.open_worker()
            .filter(|_| self.evacuated_after.is_none())
    }

    /// Returns the worker if it accepts tasks, or would if its zone weren't evacuated.
    pub(super) fn open_worker(&self) -> Option<&Worker> {
        let worker = self.worker.as_ref()?;
        (self.is_connected && !self.is_first_update && !worker.is_draining).then_some(worker)
    }

    /// Returns whether the worker accepts tasks and belongs to a pool.
    pub(super) fn is_in_pool(&self, pool: &str) -> bool {
        self.schedulable_worker()
            .is_some_and(|worker| worker.pool == pool)
    }

    /// Returns whether the worker is known and its agent is connected.
    pub(super) const fn is_heard(&self) -> bool {
        self.is_connected && self.worker.is_some()
    }

    /// Returns the unoccupied resources of the worker.
    pub(super) fn free_resources(&self) -> Resources {
        let occupied = self.used.plus(&self.untracked);
        let capacity = self.worker.as_ref().map(|worker| worker.capacity);
        capacity
            .unwrap_or(Resources::ZERO)
            .saturating_sub(&occupied)
    }

    /// Adds an attempt and its resources.
    pub(super) fn add_run(&mut self, key: RunKey, step: &Step) {
        self.headrooms.take();
        self.runs.push(key);
        self.used = self.used.plus(&step.occupied());
        self.idle_milli = self.idle_milli.saturating_add(step.idle_milli());
        if step.latency_target_ms.is_some() {
            let milli = step.demand.processors_milli;
            self.sensitive_milli = self.sensitive_milli.saturating_add(milli);
        }
    }

    /// Removes an attempt and its resources.
    pub(super) fn remove_run(&mut self, key: RunKey, run: &Run) {
        self.headrooms.take();
        self.runs.retain(|other| *other != key);
        self.used = self.used.saturating_sub(&run.occupied);
        self.idle_milli = self.idle_milli.saturating_sub(run.idle_milli);
        if run.is_sensitive() {
            let milli = run.occupied.processors_milli;
            self.sensitive_milli = self.sensitive_milli.saturating_sub(milli);
        }
    }

    /// Forgets that a worker counts as crashed which lives, so that its crash will count.
    pub(super) fn refute_crash(&mut self, worker: Incarnation) {
        let former = worker.saturating_sub(1);
        self.last_crash = self.last_crash.min(former);
        self.crashes_acknowledged = self.crashes_acknowledged.min(former);
        self.unacknowledged_crashes
            .retain(|record| record.worker < worker);
    }

    pub(super) fn has_orders(&self) -> bool {
        !self.starts.is_empty()
            || !self.stops.is_empty()
            || !self.profiles.is_empty()
            || !self.effects.is_empty()
            || self.acknowledged > self.acknowledged_sent
            || self.crashes_acknowledged > self.crashes_acknowledged_sent
    }
}
