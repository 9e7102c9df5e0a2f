//! Tasks that crash the workers that start them.
//!
//! A worker that crashes takes all its attempts with it. Those that had only just started are
//! suspects. A suspect task is started next as a [`Probe`](super::Probe), alone on a host, and only
//! after the suspicion has been recorded, so that it outlives the owner. If the worker outlives the
//! start, the task is no longer a suspect. If it crashes again, the task is given up.

use smallvec::SmallVec;
use toucanquay_model::{
    Time,
    graph::{Place, State},
    session::{Crash, Suspect, Update},
};

use super::{
    CrashRecord, Event, Run, Scheduler,
    key::{HostKey, JobKey},
    task::{Phase, Task},
    updates::task_place,
};

/// Number of crashes after which a task is given up if the last one has only suspects of its job.
pub(super) const CRASHES_ALONE_MAX: usize = 2;

/// Number of crashes after which a task is given up although there are other suspects.
const CRASHES_MAX: usize = 3;

/// Number of crashes after which a task is given up if the last one has only suspects of its job,
/// although the workers may not have begun the task.
const SUSPICIONS_MAX: usize = 4;

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
        self.unrecorded_jobs.push_first(suspect.job);
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
