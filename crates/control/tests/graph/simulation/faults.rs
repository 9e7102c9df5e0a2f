//! Faults of workers and agents.

use std::collections::BTreeSet;

use rand::RngExt;
use toucanquay_control::runner::CallOutcome;
use toucanquay_model::{Time, graph::Task};

use super::super::{at, worker::SimulatedWorker};
use super::{
    ANNOUNCEMENT_DELAY_MS, CALL_TIMEOUT_MS, CRASH_DELAY_MS, CRASHES_MAX, Call, Host,
    REFUSAL_MS_MAX, REFUSAL_PAUSE_MS, STARTS_MAX, Simulation, TURNED_AWAY_PERCENT,
};

impl Simulation {
    pub(super) fn inject_fault(&mut self) {
        if self.rng.random_range(0..60) != 0 {
            return;
        }
        self.faults += 1;
        let index = self.rng.random_range(0..self.hosts.len());
        match self.rng.random_range(0..6) {
            0 => self.owner = None,
            1 => self.paused_until = self.now_ms + self.rng.random_range(100..5_000),
            2 => self.restart_agent(index),
            3 => self.restart_worker(index),
            4 => {
                let millis = self.rng.random_range(100..9_000);
                self.hosts[index].partitioned_until = at(self.now_ms + millis);
            }
            _ => self.hosts[index].session = None,
        }
    }

    /// Makes a random worker busy for some time.
    pub(super) fn occupy_worker(&mut self) {
        let Some(rng) = &mut self.fault_rng else {
            return;
        };
        if rng.random_range(0..150) != 0 {
            return;
        }
        let index = rng.random_range(0..self.hosts.len());
        let millis = rng.random_range(500..6_000);
        self.hosts[index].busy_until = at(self.now_ms + millis);
    }

    /// Makes a random worker silent for some time, often for longer than its lease.
    pub(super) fn silence_worker(&mut self) {
        let Some(rng) = &mut self.silence_rng else {
            return;
        };
        if rng.random_range(0..200) != 0 {
            return;
        }
        let index = rng.random_range(0..self.hosts.len());
        let millis = rng.random_range(500..15_000);
        self.hosts[index].silent_until = at(self.now_ms + millis);
        self.silences += 1;
    }

    /// Lets the address of a random worker refuse connections for some time.
    pub(super) fn refuse_connections(&mut self) {
        let Some(rng) = &mut self.refusal_rng else {
            return;
        };
        if rng.random_range(0..150) != 0 {
            return;
        }
        let index = rng.random_range(0..self.hosts.len());
        let is_alive = rng.random_bool(0.4);
        let is_agent_restarted = rng.random_bool(0.4);
        let millis = match is_alive {
            true => rng.random_range(50..REFUSAL_MS_MAX),
            false => rng.random_range(100..5_000),
        };
        if self.time()
            < self.hosts[index]
                .refuses_until
                .plus_millis(REFUSAL_PAUSE_MS)
        {
            return;
        }
        self.refusals += 1;
        let until = at(self.now_ms + millis);
        if !is_alive {
            self.replace_worker(index);
            self.hosts[index].absent_until = until;
        }
        self.hosts[index].refuses_until = until;
        if !is_alive && is_agent_restarted {
            self.restart_agent(index);
        }
    }

    pub(super) fn is_refusing(&self, index: usize) -> bool {
        self.time() < self.hosts[index].refuses_until
    }

    pub(super) fn is_silent(&self, index: usize) -> bool {
        !self.is_fault_free && self.time() < self.hosts[index].silent_until
    }

    /// Leaves a call unanswered, and carries it out when the worker is no longer silent.
    pub(super) fn postpone_call(&mut self, index: usize, call: Call) {
        let unanswered = match &call {
            Call::Start(start, ..) => {
                Call::Started(start.task, start.attempt, CallOutcome::Unknown)
            }
            Call::Stop(stop, _) => Call::Stopped(stop.task, stop.attempt, CallOutcome::Unknown),
            _ => return,
        };
        self.schedule_call(index, CALL_TIMEOUT_MS, unanswered);
        let until = self.hosts[index].silent_until.as_micros();
        let millis = until.saturating_sub(self.time().as_micros()) / 1_000;
        self.schedule_call(index, millis + 1, call);
    }

    /// Returns whether a worker turns a call away.
    pub(super) fn is_turned_away(&mut self, index: usize) -> bool {
        let is_busy = !self.is_fault_free && self.time() < self.hosts[index].busy_until;
        let mut rng = self.fault_rng.as_mut().filter(|_| is_busy);
        rng.as_mut()
            .is_some_and(|rng| rng.random_range(0..100) < TURNED_AWAY_PERCENT)
    }

    pub(super) fn restart_agent(&mut self, index: usize) {
        let (name, process) = (self.hosts[index].name.clone(), self.new_incarnation());
        let worker = self.hosts[index].worker.clone();
        let mut host = Host {
            busy_until: self.hosts[index].busy_until,
            silent_until: self.hosts[index].silent_until,
            refuses_until: self.hosts[index].refuses_until,
            absent_until: self.hosts[index].absent_until,
            lost_until: self.hosts[index].lost_until,
            odd_until: self.hosts[index].odd_until,
            crash_at: self.hosts[index].crash_at,
            next_heartbeat_at: at(self.now_ms + ANNOUNCEMENT_DELAY_MS),
            ..self.host(name, process, worker)
        };
        // Calls in flight still reach the worker, but their replies are lost.
        let is_request = |call: &Call| matches!(call, Call::Start(..) | Call::Stop(..));
        let calls = std::mem::take(&mut self.hosts[index].calls);
        host.calls = calls
            .into_iter()
            .filter(|(_, _, call)| is_request(call))
            .collect();
        self.hosts[index] = host;
    }

    /// Returns the incarnation of a process that starts now.
    pub(super) const fn new_incarnation(&self) -> u64 {
        1_000 + self.now_ms
    }

    pub(super) fn restart_worker(&mut self, index: usize) {
        self.replace_worker(index);
        self.hosts[index].runner.mark_worker_exited();
    }

    /// Ends the worker's process with all its attempts, and starts another one.
    pub(super) fn replace_worker(&mut self, index: usize) {
        let incarnation = self.new_incarnation();
        let host = &mut self.hosts[index];
        let begun = host.worker.running.keys().map(|(task, _)| *task);
        // The agent can't tell an attempt that had just ended.
        let begun = begun.chain(host.worker.unacknowledged_ends().map(|end| end.task));
        for task in begun.collect::<BTreeSet<Task>>() {
            *self.crash_counts.entry(task).or_default() += 1;
        }
        host.worker = SimulatedWorker::new(incarnation);
        host.calls.clear();
        host.crash_at = Time::NEVER;
    }

    /// Crashes a worker if it has started a deadly task. The agent notices the crash, or only the
    /// next process.
    pub(super) fn crash_worker(&mut self, index: usize) {
        if self.time() < self.hosts[index].crash_at {
            return;
        }
        self.deadly_crashes += 1;
        let is_noticed = self
            .fault_rng
            .as_mut()
            .is_some_and(|rng| rng.random_bool(0.5));
        if is_noticed {
            self.restart_worker(index);
        } else {
            self.replace_worker(index);
        }
    }

    /// Counts the start of a deadly task, which will crash the worker.
    pub(super) fn start_deadly_task(&mut self, index: usize, task: Task) {
        if self.jobs[&task.job].deadly_task != Some(task) {
            return;
        }
        let due = at(self.now_ms + CRASH_DELAY_MS);
        let host = &mut self.hosts[index];
        host.crash_at = host.crash_at.min(due);
        if self.crash_counts.get(&task).copied().unwrap_or(0) >= CRASHES_MAX {
            let starts = self.late_starts.entry(task).or_default();
            *starts += 1;
            assert!(
                *starts <= STARTS_MAX,
                "{task} is started again after {CRASHES_MAX} workers have crashed under it"
            );
        }
    }
}
