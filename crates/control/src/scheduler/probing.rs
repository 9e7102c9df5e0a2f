//! Placement of suspect tasks as probes.

use std::collections::BTreeMap;

use smallvec::SmallVec;
use toucanquay_model::{Time, graph::Place};

use super::{
    Host, Job, Probe, Scheduler,
    crashes::CRASHES_ALONE_MAX,
    key::{HostKey, JobKey, RunKey},
    stage_ref::StageRef,
    task::{Phase, Task},
};

/// Maximum duration of a probe, in microseconds.
const PROBE_MICROS_MAX: u64 = 3_000_000;

/// Maximum time for which a host is kept for a probe that has not begun, in microseconds. Perpetual
/// tasks that fit nowhere else wait for it, and for the probe.
const RESERVATION_MICROS_MAX: u64 = 1_000_000;

/// Hosts of a pool for each one that may be occupied by a probe.
const HOSTS_PER_PROBE: usize = 3;

/// Rounds of probes with one task each that suspects may wait for. If more wait, a probe has several
/// tasks.
const PROBE_ROUNDS_MAX: usize = 6;

/// Time after a crash for which a host is not preferred for probes, in microseconds. Its worker may
/// be crashing for a reason of its own.
const CRASH_MEMORY_MICROS: u64 = 10_000_000;

impl Scheduler {
    /// Starts the suspect tasks of a stage for which there is a host without other suspects.
    pub(super) fn place_probes(&mut self, stage: StageRef<'_>, now: Time) {
        let mut is_host_lacking = false;
        for index in 0..stage.step.tasks {
            let task = self.waiting_task(stage, index, now);
            let Some(task) = task.filter(|task| task.is_suspect()) else {
                continue;
            };
            let avoided_host = task.avoided_host;
            // A task that was among the suspects of several crashes needs a proof.
            let can_join = task.suspicions() < CRASHES_ALONE_MAX;
            let place = self.place(stage, index);
            if let Some(host) = can_join.then(|| self.open_probe(stage, now)).flatten() {
                let attempt = self.next_attempt();
                let run = self.start_task(stage, index, host, attempt, now);
                if let Some(probe) = self.probes.get_mut(&host) {
                    probe.runs.push(run);
                }
                continue;
            }
            if is_host_lacking {
                continue;
            }
            let Some(host) = self.probe_host(stage, place, avoided_host, now) else {
                self.reserve_host(stage, now);
                // The other tasks may still join probes of other stages.
                is_host_lacking = true;
                continue;
            };
            let attempt = self.next_attempt();
            let run = self.start_task(stage, index, host, attempt, now);
            let tasks_max = if can_join { self.probe_tasks_max } else { 1 };
            self.begin_probe(host, (stage.job, place), Some(run), tasks_max, now);
        }
    }

    /// Returns a host with a probe that another task may join.
    fn open_probe(&self, stage: StageRef<'_>, now: Time) -> Option<HostKey> {
        let mut probes = self.probes.iter();
        let (host, _) = probes.find(|(host, probe)| {
            probe.is_open(self.placement_round) && self.can_probe(**host, stage, now)
        })?;
        Some(*host)
    }

    /// Sets the number of tasks of a probe, so that the number of rounds for all waiting suspects
    /// grows only with the square root of their number.
    pub(super) fn size_probes(&mut self, now: Time) {
        let jobs = &self.jobs;
        self.suspect_jobs.retain(|key| {
            let job = jobs.get(*key).filter(|job| !job.state.is_over());
            job.is_some_and(|job| job.tasks_by_place().any(|(_, task)| task.is_suspect()))
        });
        let is_waiting = |task: &&Task| {
            task.is_suspect() && task.phase == Phase::Waiting && task.not_before <= now
        };
        let mut suspects: BTreeMap<&str, usize> = BTreeMap::new();
        for job in self.suspect_jobs.iter().filter_map(|key| jobs.get(*key)) {
            let tasks = job.tasks_by_place().map(|(_, task)| task);
            *suspects.entry(self.pool(job)).or_default() += tasks.filter(is_waiting).count();
        }
        // Hosts of one pool shorten no other pool's rounds.
        let rounds = suspects.into_iter();
        let rounds = rounds.map(|(pool, suspects)| suspects.div_ceil(self.probes_max(pool)));
        let rounds = rounds.max().unwrap_or(0);
        self.probe_tasks_max = if rounds <= PROBE_ROUNDS_MAX {
            1
        } else {
            // If a worker crashes, each of its suspects needs a probe of its own, so there are no
            // more of them than probes that precede.
            let tasks = rounds.div_ceil(PROBE_ROUNDS_MAX).min(rounds.isqrt());
            // A number that fell with each round would make the rounds many again.
            self.probe_tasks_max.max(tasks)
        };
    }

    /// Returns the number of hosts of a pool that may be kept free for probes.
    fn probes_max(&self, pool: &str) -> usize {
        let live_hosts = self.hosts.values().filter(|host| host.is_in_pool(pool));
        (live_hosts.count() / HOSTS_PER_PROBE).max(1)
    }

    /// Returns the number of hosts of a pool that are kept free for probes.
    fn probes_in_pool(&self, pool: &str) -> usize {
        let hosts = self.probes.keys().filter_map(|key| self.hosts.get(*key));
        hosts.filter(|host| host.is_in_pool(pool)).count()
    }

    /// Returns the pool in which the tasks of a job run.
    pub(super) fn pool<'a>(&'a self, job: &'a Job) -> &'a str {
        let queue = self.queues.get(&job.queue);
        &queue.unwrap_or(&job.queue_at_acceptance).pool
    }

    /// Returns whether a stage has a suspect task.
    pub(super) fn has_suspect(&self, stage: StageRef<'_>) -> bool {
        let stage = &self.jobs[stage.job].stages[stage.index];
        stage.tasks.iter().any(Task::is_suspect)
    }

    /// Keeps the hosts of a suspect gang free of other starts. Its members start at once, so they may
    /// be more than the hosts that may be kept free otherwise.
    pub(super) fn begin_gang_probe(&mut self, runs: &[RunKey], now: Time) {
        for key in runs {
            self.join_probe(*key, now);
        }
    }

    /// Adds an attempt to the probe on its host, or begins one with it.
    pub(super) fn join_probe(&mut self, key: RunKey, now: Time) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let (host, task) = (run.host, (run.job, run.place));
        let probe = self.probes.get_mut(&host);
        match probe.filter(|probe| !probe.is_reservation()) {
            Some(probe) => probe.runs.push(key),
            None => self.begin_probe(host, task, Some(key), 1, now),
        }
    }

    /// Returns the host on which a probe endangers the fewest attempts. One whose worker has not
    /// crashed lately is preferred. If each worker has yet to outlive other starts, reserves a host
    /// and returns `None`.
    fn probe_host(
        &mut self,
        stage: StageRef<'_>,
        place: Place,
        avoided_host: Option<HostKey>,
        now: Time,
    ) -> Option<HostKey> {
        let can_begin = self.probes_in_pool(stage.pool) < self.probes_max(stage.pool);
        let is_free = |key: HostKey| match self.probes.get(&key) {
            Some(probe) => probe.is_reservation(),
            None => can_begin,
        };
        let rank = |(key, host): &(HostKey, &Host)| {
            let crashed_at = host.crashed_at;
            let has_crashed =
                crashed_at.is_some_and(|at| now < at.plus_micros(CRASH_MEMORY_MICROS));
            (
                avoided_host == Some(*key),
                !self.has_outlived_starts(host),
                has_crashed,
                host.runs.len(),
            )
        };
        let hosts = self.hosts.iter();
        let fitting = hosts.filter(|(key, _)| is_free(*key) && self.can_probe(*key, stage, now));
        let (key, host) = fitting.min_by_key(rank)?;
        if self.has_outlived_starts(host) {
            return Some(key);
        }
        if !self.probes.contains_key(&key) {
            self.begin_probe(key, (stage.job, place), None, 1, now);
        }
        None
    }

    /// Returns whether a probe of a task of a stage may take place on a host, if that is free.
    fn can_probe(&self, host: HostKey, stage: StageRef<'_>, now: Time) -> bool {
        !self.is_kept_from(host, stage) && self.fitting_score(host, stage, now).is_some()
    }

    /// Returns whether a task of a stage fits on a host, even if that is kept free for a probe.
    pub(super) fn fits_anywhere(&self, stage: StageRef<'_>, now: Time) -> bool {
        let mut hosts = self.hosts.keys();
        hosts.any(|host| self.fitting_score(host, stage, now).is_some())
    }

    /// Returns whether the worker has outlived the starts of all its attempts.
    pub(super) fn has_outlived_starts(&self, host: &Host) -> bool {
        let mut runs = host.runs.iter().filter_map(|run| self.runs.get(*run));
        runs.all(|run| run.has_survived_start)
    }

    /// Keeps a host free of other starts for a probe, which begins later if there is no attempt.
    fn begin_probe(
        &mut self,
        host: HostKey,
        task: (JobKey, Place),
        run: Option<RunKey>,
        tasks_max: usize,
        now: Time,
    ) {
        let micros_max = match run {
            Some(_) => PROBE_MICROS_MAX,
            None => RESERVATION_MICROS_MAX,
        };
        let probe = Probe {
            runs: run.into_iter().collect(),
            task,
            round: self.placement_round,
            tasks_max,
            expires_at: now.plus_micros(micros_max),
        };
        self.probes.insert(host, probe);
    }

    /// Ends the probe of an attempt, if it is one, so that other tasks are placed on its host again.
    pub(super) fn end_probe(&mut self, host: HostKey, run: RunKey) {
        let Some(probe) = self.probes.get_mut(&host) else {
            return;
        };
        let runs = probe.runs.len();
        probe.runs.retain(|other| *other != run);
        if probe.runs.is_empty() && runs > 0 {
            self.release_host(host);
        }
    }

    fn release_host(&mut self, host: HostKey) {
        self.probes.remove(&host);
        self.mark_host_changed(host);
        self.is_placement_due = true;
    }

    /// Ends the probes that have lasted too long, and the reservations that are of no use.
    pub(super) fn expire_probes(&mut self, now: Time) {
        let probes = self.probes.iter();
        let expired: SmallVec<[HostKey; 4]> = probes
            .filter(|(host, probe)| now >= probe.expires_at || self.is_idle(**host, probe))
            .map(|(host, _)| *host)
            .collect();
        for host in expired {
            self.release_host(host);
        }
    }

    /// Returns whether a host is reserved although it is gone, or its task doesn't wait for it.
    fn is_idle(&self, host: HostKey, probe: &Probe) -> bool {
        let (key, place) = probe.task;
        let job = self.jobs.get(key).filter(|job| !job.state.is_over());
        let task = job.and_then(|job| job.task(place));
        let is_awaited = task.is_some_and(|task| task.is_suspect() && task.phase == Phase::Waiting);
        let is_live = self.hosts[host].schedulable_worker().is_some();
        probe.is_reservation() && !(is_awaited && is_live)
    }
}
