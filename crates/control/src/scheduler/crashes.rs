//! Tasks that crash the workers that start them.
//!
//! A worker that crashes takes all its attempts with it. Those that had only just started are
//! suspects. A suspect task is started next as a [`Probe`], alone on a host, and only after the
//! suspicion has been recorded, so that it outlives the owner. If the worker outlives the start, the
//! task is no longer a suspect. If it crashes again, the task is given up.

use smallvec::SmallVec;
use toucanquay_model::{
    Time,
    graph::{Place, State},
    session::{Crash, Suspect, Update},
};

use super::{
    CrashRecord, Event, Host, Probe, Run, Scheduler,
    key::{HostKey, JobKey, RunKey},
    stage_ref::StageRef,
    task::{Phase, Task},
    updates::task_place,
};

/// Number of crashes after which a task is given up if the last one has only suspects of its job.
const CRASHES_ALONE_MAX: usize = 2;

/// Number of crashes after which a task is given up although there are other suspects.
const CRASHES_MAX: usize = 3;

/// Number of crashes after which a task is given up if the last one has only suspects of its job,
/// although the workers may not have begun the task.
const SUSPICIONS_MAX: usize = 4;

/// Maximum duration of a probe, in microseconds.
const PROBE_MICROS_MAX: u64 = 3_000_000;

/// Hosts for each one that may be occupied by a probe.
const HOSTS_PER_PROBE: usize = 3;

/// Maximum number of tasks that one probe starts if many suspects wait.
const PROBE_TASKS_MAX: usize = 4;

/// Rounds of probes with one task each that suspects may wait for.
const PROBE_ROUNDS_MAX: usize = 6;

/// Time after a crash for which a host is not preferred for probes, in microseconds. Its worker may
/// be crashing for a reason of its own.
const CRASH_MEMORY_MICROS: u64 = 10_000_000;

/// Suspect task of a crash.
#[derive(Debug, Clone, Copy)]
struct SuspectTask {
    job: JobKey,
    place: Place,
    attempt: u64,
    is_started: bool,
}

impl Scheduler {
    /// Processes the crashes that an agent reports.
    pub(super) fn apply_crashes(&mut self, key: HostKey, update: &Update, now: Time) {
        for crash in &update.crashes {
            self.apply_crash(key, crash, now);
        }
    }

    fn apply_crash(&mut self, key: HostKey, crash: &Crash, now: Time) {
        let host = &mut self.hosts[key];
        if crash.worker <= host.last_crash {
            return;
        }
        host.last_crash = crash.worker;
        host.crashed_at = Some(now);
        let record = CrashRecord {
            worker: crash.worker,
            versions: self.count_crash(key, crash, now),
        };
        self.hosts[key].unacknowledged_crashes.push_back(record);
    }

    /// Returns the crash of a host's worker that its agent can't report, because it has restarted,
    /// too.
    fn unreported_crash(&self, key: HostKey) -> Option<Crash> {
        let host = &self.hosts[key];
        if !host.is_agent_restarted || host.is_worker_draining {
            return None;
        }
        let runs = host.runs.iter().filter_map(|run| self.runs.get(*run));
        let at_risk = runs.filter(|run| !run.has_survived_start && run.orders_number.is_some());
        let suspect = |run: &Run| {
            let job = self.jobs.get(run.job)?;
            Some(Suspect {
                task: job.task_id(run.place),
                attempt: run.attempt,
                is_started: run.has_begun,
            })
        };
        let suspects: Vec<Suspect> = at_risk.filter_map(suspect).collect();
        (!suspects.is_empty()).then_some(Crash {
            worker: host.worker_incarnation,
            suspects,
        })
    }

    /// Counts the crash of a worker whose agent has lost its memory of it.
    pub(super) fn apply_unreported_crash(&mut self, key: HostKey, now: Time) {
        if let Some(crash) = self.unreported_crash(key) {
            self.apply_crash(key, &crash, now);
        }
    }

    /// Counts a crash for its suspects. Returns their jobs, with the versions to be recorded.
    ///
    /// A start that the worker had not confirmed may not have reached it, so that the crash counts
    /// less.
    fn count_crash(
        &mut self,
        host: HostKey,
        crash: &Crash,
        now: Time,
    ) -> SmallVec<[(JobKey, u64); 4]> {
        let jobs = crash.suspects.iter().map(|suspect| suspect.task.job);
        let is_alone = jobs.clone().all(|job| Some(job) == jobs.clone().next());
        let suspects = crash.suspects.iter();
        let suspects: SmallVec<[SuspectTask; 8]> = suspects
            .filter_map(|suspect| self.suspect_task(*suspect))
            .collect();
        for suspect in &suspects {
            self.add_crash(*suspect, host, crash.suspects.len());
            self.give_up_task(suspect.job, suspect.place, is_alone, now);
        }
        let version = |suspect: &SuspectTask| {
            let job = self.jobs.get(suspect.job)?;
            Some((suspect.job, job.version))
        };
        suspects.iter().filter_map(version).collect()
    }

    /// Returns the task of a suspect attempt, unless the crash has already been counted or a worker
    /// has outlived a later start.
    fn suspect_task(&self, suspect: Suspect) -> Option<SuspectTask> {
        let key = *self.job_keys.get(&suspect.task.job)?;
        let job = self.jobs.get(key)?;
        let place = task_place(suspect.task);
        let task = job.task(place)?;
        let is_known = task.suspects().any(|known| known == suspect.attempt);
        let is_outlived = suspect.attempt <= task.outlived_attempt;
        let is_over = job.state.is_over() || task.phase == Phase::Done;
        (!is_over && !is_known && !is_outlived).then_some(SuspectTask {
            job: key,
            place,
            attempt: suspect.attempt,
            is_started: suspect.is_started,
        })
    }

    pub(super) fn is_suspect(&self, job: JobKey, place: Place) -> bool {
        let task = self.jobs.get(job).and_then(|job| job.task(place));
        task.is_some_and(Task::is_suspect)
    }

    fn add_crash(&mut self, suspect: SuspectTask, host: HostKey, suspects: usize) {
        self.mark_changed(suspect.job);
        self.suspect_jobs.insert(suspect.job);
        let Some(job) = self.jobs.get_mut(suspect.job) else {
            return;
        };
        let (task_id, version) = (job.task_id(suspect.place), job.version);
        let Some(task) = job.task_mut(suspect.place) else {
            return;
        };
        let attempts = if suspect.is_started {
            &mut task.crashed_attempts
        } else {
            &mut task.suspected_attempts
        };
        attempts.push(suspect.attempt);
        task.suspected_in = version;
        task.avoided_host = Some(host);
        let crashes = task.crashed_attempts.len();
        self.unrecorded_suspects.push((suspect.job, version));
        self.events.push(Event::Suspected {
            task: task_id,
            attempt: suspect.attempt,
            host: self.hosts[host].name.clone(),
            crashes,
            suspects,
        });
    }

    /// Ends the job of a task under which too many workers have crashed.
    fn give_up_task(&mut self, key: JobKey, place: Place, is_alone: bool, now: Time) {
        let Some(task) = self.jobs.get(key).and_then(|job| job.task(place)) else {
            return;
        };
        let (crashes, suspicions) = (task.crashed_attempts.len(), task.suspicions());
        let is_proved = crashes >= CRASHES_ALONE_MAX || suspicions >= SUSPICIONS_MAX;
        if crashes >= CRASHES_MAX || (is_alone && is_proved) {
            let reason = format!("{suspicions} workers crashed under task {}", place.index);
            self.end_job(key, State::Failed, Some(reason), now);
        }
    }

    /// Records that a worker has outlived the start of an attempt, which clears its task.
    pub(super) fn outlive_start(&mut self, key: JobKey, place: Place, attempt: u64) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let task_id = job.task_id(place);
        let is_cleared = job
            .task_mut(place)
            .is_some_and(|task| task.outlive_start(attempt));
        if is_cleared {
            self.mark_changed(key);
            self.events.push(Event::Cleared { task: task_id });
        }
    }

    /// Makes suspect tasks placeable whose crashes are recorded.
    pub(super) fn release_recorded_suspects(&mut self) {
        let jobs = &self.jobs;
        let before = self.unrecorded_suspects.len();
        self.unrecorded_suspects.retain(|(job, version)| {
            jobs.get(*job)
                .is_some_and(|job| job.recorded_version < *version)
        });
        self.is_placement_due |= self.unrecorded_suspects.len() < before;
    }

    /// Starts the suspect tasks of a stage for which there is a host without other suspects.
    pub(super) fn place_probes(&mut self, stage: StageRef<'_>, now: Time) {
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
            let Some(host) = self.probe_host(stage, place, avoided_host, now) else {
                return;
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
            probe.is_open(self.placement_round) && self.fitting_score(**host, stage, now).is_some()
        })?;
        Some(*host)
    }

    /// Sets the number of tasks of a probe, so that a large number of suspects isn't delayed for
    /// long.
    pub(super) fn size_probes(&mut self, now: Time) {
        let jobs = &self.jobs;
        self.suspect_jobs.retain(|key| {
            let job = jobs.get(*key).filter(|job| !job.state.is_over());
            job.is_some_and(|job| job.tasks_by_place().any(|(_, task)| task.is_suspect()))
        });
        let is_waiting = |task: &&Task| {
            task.is_suspect() && task.phase == Phase::Waiting && task.not_before <= now
        };
        let suspect_jobs = self.suspect_jobs.iter().filter_map(|key| jobs.get(*key));
        let tasks = suspect_jobs.flat_map(|job| job.tasks_by_place().map(|(_, task)| task));
        let suspects = tasks.filter(is_waiting).count();
        let probes = PROBE_ROUNDS_MAX * self.probes_max();
        self.probe_tasks_max = suspects.div_ceil(probes).clamp(1, PROBE_TASKS_MAX);
    }

    /// Returns the number of hosts that may be kept free for probes.
    fn probes_max(&self) -> usize {
        let hosts = self.hosts.values();
        let live_hosts = hosts.filter(|host| host.schedulable_worker().is_some());
        (live_hosts.count() / HOSTS_PER_PROBE).max(1)
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
            if let Some(run) = self.runs.get(*key) {
                let (host, task) = (run.host, (run.job, run.place));
                match self
                    .probes
                    .get_mut(&host)
                    .filter(|probe| !probe.is_reservation())
                {
                    Some(probe) => probe.runs.push(*key),
                    None => self.begin_probe(host, task, Some(*key), 1, now),
                }
            }
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
        let can_begin = self.probes.len() < self.probes_max();
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
        let fitting = hosts
            .filter(|(key, _)| is_free(*key) && self.fitting_score(*key, stage, now).is_some());
        let (key, host) = fitting.min_by_key(rank)?;
        if self.has_outlived_starts(host) {
            return Some(key);
        }
        if !self.probes.contains_key(&key) {
            self.begin_probe(key, (stage.job, place), None, 1, now);
        }
        None
    }

    /// Returns whether the worker has outlived the starts of all its attempts.
    pub(super) fn has_outlived_starts(&self, host: &Host) -> bool {
        let mut runs = host.runs.iter().filter_map(|run| self.runs.get(*run));
        runs.all(|run| run.has_survived_start)
    }

    /// Keeps a host free of other starts for a probe, which begins later if there is no attempt.
    pub(super) fn begin_probe(
        &mut self,
        host: HostKey,
        task: (JobKey, Place),
        run: Option<RunKey>,
        tasks_max: usize,
        now: Time,
    ) {
        let probe = Probe {
            runs: run.into_iter().collect(),
            task,
            round: self.placement_round,
            tasks_max,
            expires_at: now.plus_micros(PROBE_MICROS_MAX),
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

    /// Acknowledges the crashes of a host up to the first one whose suspects are not yet recorded.
    pub(super) fn acknowledge_crashes(&mut self, key: HostKey) {
        let Some(host) = self.hosts.get_mut(key) else {
            return;
        };
        let jobs = &self.jobs;
        let is_recorded = |(job, version): &(JobKey, u64)| {
            jobs.get(*job)
                .is_none_or(|job| job.recorded_version >= *version)
        };
        while let Some(record) = host.unacknowledged_crashes.front() {
            if !record.versions.iter().all(is_recorded) {
                break;
            }
            host.crashes_acknowledged = host.crashes_acknowledged.max(record.worker);
            host.unacknowledged_crashes.pop_front();
        }
    }
}
