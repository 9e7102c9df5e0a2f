//! One host with a worker.

use std::collections::{BTreeMap, VecDeque};

use smallvec::SmallVec;
use toucanquay_model::{
    Incarnation, Resources, Time,
    graph::Step,
    session::{InterferenceEffect, Profile, Start, Stop, Worker},
};

use super::{
    Run,
    key::{JobKey, RunKey},
};

/// What the owner knows of one host.
#[derive(Debug)]
pub(super) struct Host {
    pub(super) name: String,
    /// Incarnation of the agent's process.
    pub(super) process: Incarnation,
    /// Incarnation of the worker's process.
    pub(super) life: Incarnation,
    pub(super) worker: Option<Worker>,
    pub(super) is_connected: bool,
    /// No update of the present session has been processed yet.
    pub(super) is_fresh: bool,
    /// The agent's process has changed since its attempts were last compared.
    pub(super) is_successor: bool,
    pub(super) update: u64,
    pub(super) stamp: Time,
    /// After this time nothing that the host was told to run can still run.
    pub(super) bound: Time,
    pub(super) runs: Vec<RunKey>,
    pub(super) used: Resources,
    /// What attempts occupy that are on the worker and not in [`runs`](Self::runs).
    pub(super) foreign: Resources,
    pub(super) idle_milli: u32,
    /// Processors of sensitive attempts, in thousandths.
    pub(super) sensitive_milli: u32,
    pub(super) sent: u64,
    pub(super) sent_at: Time,
    pub(super) starts: Vec<Start>,
    pub(super) stops: Vec<Stop>,
    pub(super) profiles: Vec<(Stop, Profile)>,
    /// Effects of images that the agent doesn't know yet.
    pub(super) effects: Vec<InterferenceEffect>,
    /// Effects that the agent knows or will with the next orders, in hundredths.
    pub(super) effects_sent: BTreeMap<(usize, usize), u16>,
    pub(super) ends_seen: u64,
    pub(super) acknowledged: u64,
    pub(super) acknowledged_sent: u64,
    /// Ends by number, with the change of their job that has to be recorded first.
    pub(super) ends: VecDeque<(u64, JobKey, u64)>,
    /// Distinct jobs that failed in a row.
    pub(super) failing: SmallVec<[JobKey; 4]>,
    pub(super) avoid_until: Time,
}

impl Host {
    pub(super) fn new(name: String) -> Self {
        Self {
            name,
            process: 0,
            life: 0,
            worker: None,
            is_connected: false,
            is_fresh: true,
            is_successor: false,
            update: 0,
            stamp: Time::ZERO,
            bound: Time::ZERO,
            runs: Vec::new(),
            used: Resources::ZERO,
            foreign: Resources::ZERO,
            idle_milli: 0,
            sensitive_milli: 0,
            sent: 0,
            sent_at: Time::ZERO,
            starts: Vec::new(),
            stops: Vec::new(),
            profiles: Vec::new(),
            effects: Vec::new(),
            effects_sent: BTreeMap::new(),
            ends_seen: 0,
            acknowledged: 0,
            acknowledged_sent: 0,
            ends: VecDeque::new(),
            failing: SmallVec::new(),
            avoid_until: Time::ZERO,
        }
    }

    /// Returns the worker if tasks may be placed on it.
    pub(super) fn open_worker(&self) -> Option<&Worker> {
        let worker = self.worker.as_ref()?;
        (self.is_connected && !self.is_fresh && !worker.is_draining).then_some(worker)
    }

    /// Returns what is free on the worker.
    pub(super) fn free(&self) -> Resources {
        let occupied = self.used.plus(&self.foreign);
        let capacity = self.worker.as_ref().map(|worker| worker.capacity);
        capacity
            .unwrap_or(Resources::ZERO)
            .saturating_sub(&occupied)
    }

    /// Adds an attempt.
    pub(super) fn attach(&mut self, key: RunKey, step: &Step) {
        self.runs.push(key);
        self.used = self.used.plus(&step.occupied());
        self.idle_milli = self.idle_milli.saturating_add(step.idle_milli());
        if step.latency_target_ms.is_some() {
            let milli = step.demand.processors_milli;
            self.sensitive_milli = self.sensitive_milli.saturating_add(milli);
        }
    }

    /// Removes an attempt.
    pub(super) fn detach(&mut self, key: RunKey, run: &Run) {
        self.runs.retain(|other| *other != key);
        self.used = self.used.saturating_sub(&run.occupied);
        self.idle_milli = self.idle_milli.saturating_sub(run.idle_milli);
        if run.is_sensitive() {
            let milli = run.occupied.processors_milli;
            self.sensitive_milli = self.sensitive_milli.saturating_sub(milli);
        }
    }

    pub(super) fn has_orders(&self) -> bool {
        !self.starts.is_empty()
            || !self.stops.is_empty()
            || !self.profiles.is_empty()
            || !self.effects.is_empty()
            || self.acknowledged > self.acknowledged_sent
    }
}
