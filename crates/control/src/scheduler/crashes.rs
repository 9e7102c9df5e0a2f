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
    CrashRecord, Event, Host, Probe, Scheduler,
    key::{HostKey, JobKey, RunKey},
    stage_ref::StageRef,
    task::Phase,
    updates::task_place,
};

/// Number of crashes after which a task is given up if it is the only suspect of the last one.
const CRASHES_ALONE_MAX: usize = 2;

/// Number of crashes after which a task is given up although there are other suspects.
const CRASHES_MAX: usize = 3;

/// Maximum duration of a probe, in microseconds.
const PROBE_MICROS_MAX: u64 = 3_000_000;

/// Hosts for each one that may be occupied by a probe.
const HOSTS_PER_PROBE: usize = 3;

/// Time after a crash for which a host is not preferred for probes, in microseconds. Its worker may
/// be crashing for a reason of its own.
const CRASH_MEMORY_MICROS: u64 = 10_000_000;

/// Suspect task of a crash.
type SuspectTask = (JobKey, Place, u64);

impl Scheduler {
    /// Processes the crashes that an agent reports.
    pub(super) fn apply_crashes(&mut self, key: HostKey, update: &Update, now: Time) {
        for crash in &update.crashes {
            let host = &mut self.hosts[key];
            if crash.worker <= host.last_crash {
                continue;
            }
            host.last_crash = crash.worker;
            host.crashed_at = Some(now);
            let record = CrashRecord {
                worker: crash.worker,
                versions: self.count_crash(key, crash, now),
            };
            self.hosts[key].unacknowledged_crashes.push_back(record);
        }
    }

    /// Counts a crash for its suspects. Returns their jobs, with the versions to be recorded.
    fn count_crash(
        &mut self,
        host: HostKey,
        crash: &Crash,
        now: Time,
    ) -> SmallVec<[(JobKey, u64); 4]> {
        let suspects = crash.suspects.iter();
        let suspects: SmallVec<[SuspectTask; 8]> = suspects
            .filter_map(|suspect| self.suspect_task(*suspect))
            .collect();
        let is_alone = suspects.len() == 1;
        for (job, place, attempt) in &suspects {
            self.add_crash((*job, *place, *attempt), host, suspects.len());
            self.give_up_task(*job, *place, is_alone, now);
        }
        let version = |job: &JobKey| Some((*job, self.jobs.get(*job)?.version));
        let jobs = suspects.iter().map(|(job, ..)| job);
        jobs.filter_map(version).collect()
    }

    /// Returns the task of a suspect attempt, unless it has already been counted or cleared.
    fn suspect_task(&self, suspect: Suspect) -> Option<SuspectTask> {
        let key = *self.job_keys.get(&suspect.task.job)?;
        let job = self.jobs.get(key)?;
        let place = task_place(suspect.task);
        let task = job.task(place)?;
        let has_survived_elsewhere = match task.phase {
            Phase::Waiting => false,
            Phase::Running(run) => self
                .runs
                .get(run)
                .is_some_and(|run| run.attempt != suspect.attempt && run.has_survived_start),
            Phase::Done => true,
        };
        let is_counted = task.crashed_attempts.contains(&suspect.attempt);
        let is_open = !job.state.is_over() && !is_counted && !has_survived_elsewhere;
        is_open.then_some((key, place, suspect.attempt))
    }

    pub(super) fn is_suspect(&self, job: JobKey, place: Place) -> bool {
        let task = self.jobs.get(job).and_then(|job| job.task(place));
        task.is_some_and(super::task::Task::is_suspect)
    }

    fn add_crash(&mut self, (key, place, attempt): SuspectTask, host: HostKey, suspects: usize) {
        self.mark_changed(key);
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let (task_id, version) = (job.task_id(place), job.version);
        let Some(task) = job.task_mut(place) else {
            return;
        };
        task.crashed_attempts.push(attempt);
        task.suspected_in = version;
        task.avoided_host = Some(host);
        let crashes = task.crashed_attempts.len();
        self.has_unrecorded_suspects = true;
        self.events.push(Event::Suspected {
            task: task_id,
            attempt,
            host: self.hosts[host].name.clone(),
            crashes,
            suspects,
        });
    }

    /// Ends the job of a task under which too many workers have crashed.
    fn give_up_task(&mut self, key: JobKey, place: Place, is_alone: bool, now: Time) {
        let task = self.jobs.get(key).and_then(|job| job.task(place));
        let crashes = task.map_or(0, |task| task.crashed_attempts.len());
        if crashes >= CRASHES_MAX || (is_alone && crashes >= CRASHES_ALONE_MAX) {
            let reason = format!("{crashes} workers crashed under task {}", place.index);
            self.end_job(key, State::Failed, Some(reason), now);
        }
    }

    /// Clears a task whose worker has outlived the start of an attempt.
    pub(super) fn clear_suspect(&mut self, key: JobKey, place: Place) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let task_id = job.task_id(place);
        let Some(task) = job.task_mut(place).filter(|task| task.is_suspect()) else {
            return;
        };
        task.crashed_attempts.clear();
        self.mark_changed(key);
        self.events.push(Event::Cleared { task: task_id });
    }

    /// Starts the suspect tasks of a stage for which there is a host without other suspects.
    pub(super) fn place_probes(&mut self, stage: StageRef<'_>, now: Time) {
        for index in 0..stage.step.tasks {
            let task = self.waiting_task(stage, index, now);
            let Some(avoided_host) = task
                .filter(|task| task.is_suspect())
                .map(|task| task.avoided_host)
            else {
                continue;
            };
            let Some(host) = self.probe_host(stage, avoided_host, now) else {
                return;
            };
            let attempt = self.next_attempt();
            let run = self.start_task(stage, index, host, attempt, now);
            self.begin_probe(host, Some(run), now);
        }
    }

    /// Returns the host on which a probe endangers the fewest attempts. One whose worker has not
    /// crashed lately is preferred. If each worker has yet to outlive other starts, reserves a host
    /// and returns `None`.
    fn probe_host(
        &mut self,
        stage: StageRef<'_>,
        avoided_host: Option<HostKey>,
        now: Time,
    ) -> Option<HostKey> {
        let probes_max = (self.hosts.len() / HOSTS_PER_PROBE).max(1);
        let can_begin = self.probes.len() < probes_max;
        let is_free = |key: HostKey| match self.probes.get(&key) {
            Some(probe) => probe.run.is_none(),
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
            self.begin_probe(key, None, now);
        }
        None
    }

    /// Returns whether the worker has outlived the starts of all its attempts.
    fn has_outlived_starts(&self, host: &Host) -> bool {
        let mut runs = host.runs.iter().filter_map(|run| self.runs.get(*run));
        runs.all(|run| run.has_survived_start)
    }

    /// Keeps a host free of other starts for a probe, which begins later if there is no attempt.
    pub(super) fn begin_probe(&mut self, host: HostKey, run: Option<RunKey>, now: Time) {
        let expires_at = now.plus_micros(PROBE_MICROS_MAX);
        self.probes.insert(host, Probe { run, expires_at });
    }

    /// Ends the probe of an attempt, if it is one, so that other tasks are placed on its host again.
    pub(super) fn end_probe(&mut self, host: HostKey, run: RunKey) {
        let probe = self.probes.get(&host);
        if probe.is_some_and(|probe| probe.run == Some(run)) {
            self.release_host(host);
        }
    }

    fn release_host(&mut self, host: HostKey) {
        self.probes.remove(&host);
        self.mark_host_changed(host);
        self.is_placement_due = true;
    }

    /// Ends the probes that have lasted too long.
    pub(super) fn expire_probes(&mut self, now: Time) {
        let probes = self.probes.iter();
        let expired: SmallVec<[HostKey; 4]> = probes
            .filter(|(_, probe)| now >= probe.expires_at)
            .map(|(host, _)| *host)
            .collect();
        for host in expired {
            self.release_host(host);
        }
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
