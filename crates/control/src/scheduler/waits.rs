//! Perpetual tasks that don't run, and what they wait for.

use std::collections::BTreeMap;

use smallvec::SmallVec;
use toucanquay_model::{Resources, Time, graph::Place};

use super::{
    Event, Host, Lack, Run, Scheduler, Wait,
    job::Job,
    key::JobKey,
    stage_ref::StageRef,
    task::{Phase, Task},
};

/// Time without a run after which a perpetual task is reported, and interval between two reports of
/// the same task, in microseconds.
const REPORT_INTERVAL_MICROS: u64 = 2_000_000;

/// Interval between searches for perpetual tasks that don't run, in microseconds.
const SEARCH_INTERVAL_MICROS: u64 = 1_000_000;

/// Time within which an agent usually confirms a start, in microseconds.
const CONFIRMATION_MICROS: u64 = 500_000;

/// Maximum number of tasks that are reported at once.
const REPORTS_MAX: usize = 16;

/// Maximum number of tasks whose reason is determined in one search. It takes a look at each host.
const REASONS_MAX: usize = 256;

/// Label of the time for which tasks wait whose reason isn't determined.
const UNKNOWN_REASON: &str = "unknown";

/// Maximum number of awaited hosts that are named.
const AWAITED_HOSTS_MAX: usize = 4;

impl Scheduler {
    /// Returns the number of perpetual tasks that have not run for a time, as of the last search.
    #[must_use]
    pub const fn lasting_tasks_waiting(&self) -> usize {
        self.lasting_tasks_waiting
    }

    /// Returns the time for which perpetual tasks have not run since the last call, in milliseconds,
    /// by the label of what they waited for. It is measured to a second.
    pub fn take_waited_ms(&mut self) -> BTreeMap<&'static str, u64> {
        std::mem::take(&mut self.waited_ms)
    }

    /// Reports the perpetual tasks that don't run and the hosts that a takeover waits for.
    pub(super) fn report_waits(&mut self, now: Time) {
        self.report_takeover_end(now);
        if now < self.next_waits_at {
            return;
        }
        self.next_waits_at = now.plus_micros(SEARCH_INTERVAL_MICROS);
        self.report_awaited_hosts(now);
        self.report_evacuated_jobs(now);
        self.note_running_tasks(now);
        let mut waiting = self.tasks_without_run(now);
        self.count_waits(&waiting, now);
        waiting.retain(|(_, since, ..)| now.micros_since(*since) >= REPORT_INTERVAL_MICROS);
        self.lasting_tasks_waiting = waiting.len();
        waiting
            .retain(|(reported_at, ..)| now.micros_since(*reported_at) >= REPORT_INTERVAL_MICROS);
        // Those that were reported least recently come first, so that each gets its turn.
        waiting.sort_unstable();
        let suppressed = waiting.len().saturating_sub(REPORTS_MAX);
        for (_, since, key, place) in waiting.into_iter().take(REPORTS_MAX) {
            self.report_wait(key, place, since, now);
        }
        if suppressed > 0 {
            self.events
                .push(Event::WaitsSuppressed { tasks: suppressed });
        }
    }

    /// Counts the time since the last search for which tasks have not run.
    fn count_waits(&mut self, waiting: &[(Time, Time, JobKey, Place)], now: Time) {
        let searched_at = std::mem::replace(&mut self.waits_searched_at, now);
        for (index, (_, since, key, place)) in waiting.iter().enumerate() {
            let is_determined = index < REASONS_MAX;
            let wait = is_determined.then(|| self.wait(*key, *place, now));
            let reason = wait.flatten().map_or(UNKNOWN_REASON, |wait| wait.label());
            let waited_ms = now.micros_since(searched_at.max(*since)) / 1_000;
            *self.waited_ms.entry(reason).or_default() += waited_ms;
        }
    }

    fn report_wait(&mut self, key: JobKey, place: Place, since: Time, now: Time) {
        let Some(wait) = self.wait(key, place, now) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let task = job.task_id(place);
        if let Some(task) = job.task_mut(place) {
            task.wait_reported_at = now;
        }
        self.events.push(Event::Waiting {
            task,
            waited_ms: now.micros_since(since) / 1_000,
            wait,
        });
    }

    /// Notes the time for the perpetual tasks that run.
    fn note_running_tasks(&mut self, now: Time) {
        let (runs, hosts) = (&self.runs, &self.hosts);
        let is_running = |task: &Task| {
            let Phase::Running(key) = task.phase else {
                return false;
            };
            let run = runs.get(key);
            run.is_some_and(|run| {
                let host = hosts.get(run.host);
                run.is_active() && host.is_some_and(Host::is_heard)
            })
        };
        for job in self.jobs.values_mut().filter(|job| is_lasting(job)) {
            for stage in &mut job.stages {
                for task in stage.tasks.iter_mut().filter(|task| is_running(task)) {
                    task.ran_at = now;
                }
            }
        }
    }

    /// Returns the perpetual tasks that don't run: when each was last reported, since when it doesn't
    /// run, its job and its place.
    fn tasks_without_run(&self, now: Time) -> Vec<(Time, Time, JobKey, Place)> {
        let mut tasks = Vec::new();
        for (key, job) in self.jobs.iter().filter(|(_, job)| is_lasting(job)) {
            for (place, task) in job.tasks_by_place() {
                let is_perpetual = job.step(place).is_some_and(|step| step.is_perpetual);
                let is_open = job
                    .stage_index(place)
                    .is_some_and(|index| job.stages[index].is_open);
                let is_away = task.ran_at < now;
                if is_perpetual && is_open && is_away && !self.is_done_or_fresh(task, now) {
                    tasks.push((task.wait_reported_at, task.ran_at, key, place));
                }
            }
        }
        tasks
    }

    /// Returns whether a task is done, or was started so recently that its agent need not have
    /// confirmed it.
    fn is_done_or_fresh(&self, task: &Task, now: Time) -> bool {
        match task.phase {
            Phase::Waiting => false,
            Phase::Done => true,
            Phase::Running(key) => self.runs.get(key).is_some_and(|run| {
                let confirmed_by = run.started_at.plus_micros(CONFIRMATION_MICROS);
                !run.is_stopping && now < confirmed_by
            }),
        }
    }

    /// Returns what an open task waits for, or `None` if it runs.
    fn wait(&self, key: JobKey, place: Place, now: Time) -> Option<Wait> {
        let job = self.jobs.get(key)?;
        let task = job.task(place)?;
        match task.phase {
            Phase::Done => None,
            Phase::Running(run) => self.wait_of_run(self.runs.get(run)?),
            Phase::Waiting => Some(self.wait_for_placement(key, job, place, task, now)),
        }
    }

    fn wait_of_run(&self, run: &Run) -> Option<Wait> {
        let host = &self.hosts[run.host];
        let name = host.name.clone();
        if run.is_unresolved {
            Some(Wait::Unresolved { host: name })
        } else if run.is_stopping {
            Some(Wait::Stopping { host: name })
        } else if !host.is_heard() {
            Some(Wait::Silent { host: name })
        } else if !run.has_begun {
            Some(Wait::Unconfirmed { host: name })
        } else {
            None
        }
    }

    fn wait_for_placement(
        &self,
        key: JobKey,
        job: &Job,
        place: Place,
        task: &Task,
        now: Time,
    ) -> Wait {
        if !self.is_owner(now) {
            Wait::NotOwner
        } else if !self.knows_evacuations(now) {
            Wait::EvacuationsUnknown
        } else if job.is_inherited && !self.is_takeover_complete(now) {
            Wait::Takeover {
                hosts: self.awaited_hosts.len(),
                host: self
                    .awaited_hosts
                    .keys()
                    .next()
                    .cloned()
                    .unwrap_or_default(),
            }
        } else if job.recorded_version < task.suspected_in {
            Wait::Unrecorded
        } else if task.not_before > now {
            Wait::Backoff {
                remaining_ms: task.not_before.micros_since(now).div_ceil(1_000),
            }
        } else {
            self.wait_for_host(key, job, place, task, now)
        }
    }

    /// Returns why no host has been found for a task that may be placed.
    fn wait_for_host(&self, key: JobKey, job: &Job, place: Place, task: &Task, now: Time) -> Wait {
        let queue = self
            .queues
            .get(&job.queue)
            .unwrap_or(&job.queue_at_acceptance);
        let (Some(step), Some(index)) = (job.step(place), job.stage_index(place)) else {
            return Wait::NoHost;
        };
        let stage = StageRef {
            job: key,
            index,
            step,
            pool: &queue.pool,
            image: self
                .interference
                .image_key(step.image.as_deref().unwrap_or_default()),
            accepts_any_speed: self.accepts_any_speed(key, index, step, now),
        };
        let mut fitting = self.hosts.iter().filter(|(host, _)| {
            let score = self.fitting_score(*host, stage, now);
            score.is_some()
        });
        let Some((fitting_key, fitting_host)) = fitting.next() else {
            if let Some(host) = self.evacuated_host(stage) {
                return host;
            }
            return self.wait_for_room(stage, self.lack(stage));
        };
        if task.is_suspect() {
            return Wait::Probe;
        }
        if step.is_gang {
            return self.wait_for_room(stage, Lack::Gang);
        }
        let Some(probe) = self.probes.get(&fitting_key) else {
            return Wait::Unplaced {
                host: fitting_host.name.clone(),
            };
        };
        match fitting.find(|(key, _)| !self.probes.contains_key(key)) {
            Some((_, host)) => Wait::Unplaced {
                host: host.name.clone(),
            },
            None => Wait::Reserved {
                host: fitting_host.name.clone(),
                is_begun: !probe.is_reservation(),
            },
        }
    }

    /// Returns the wait for room on a host of the stage's pool.
    fn wait_for_room(&self, stage: StageRef<'_>, lack: Lack) -> Wait {
        let pool_hosts = self.hosts.values().filter(|host| {
            let worker = host.schedulable_worker();
            worker.is_some_and(|worker| worker.pool == stage.pool)
        });
        let free = pool_hosts.map(|host| host.free_resources().processors_milli);
        let Some(free_milli) = free.clone().max() else {
            return Wait::NoHost;
        };
        Wait::NoRoom {
            lack,
            free_milli,
            pool_free_milli: free.map(u64::from).sum(),
            demand_milli: stage.step.demand.processors_milli,
        }
    }

    /// Returns what the hosts of the pool lack for a task of a stage that fits on none of them.
    fn lack(&self, stage: StageRef<'_>) -> Lack {
        let is_allowed = |host: &&Host| self.allowed_worker(host, stage.pool, stage.step).is_some();
        let allowed = self.hosts.values().filter(is_allowed);
        let free = allowed.map(Host::free_resources);
        let demand = stage.step.occupied();
        let is_below = |amount: fn(&Resources) -> u32| {
            free.clone().all(|free| amount(&free) < amount(&demand))
        };
        if free.clone().next().is_none() {
            Lack::Label
        } else if free.clone().any(|free| demand.fits(&free)) {
            Lack::WorkerLimit
        } else if is_below(|resources| resources.processors_milli) {
            Lack::Processors
        } else if is_below(|resources| resources.memory_mb) {
            Lack::Memory
        } else if is_below(|resources| resources.accelerators) {
            Lack::Accelerators
        } else {
            Lack::OneHost
        }
    }

    /// Reports the hosts that a takeover waits for.
    fn report_awaited_hosts(&mut self, now: Time) {
        if self.awaited_hosts.is_empty() {
            return;
        }
        let waiting = self.waiting_jobs.iter();
        let waiting = waiting.filter_map(|key| self.jobs.get(*key));
        let jobs = waiting.filter(|job| job.is_inherited && job.has_waiting());
        let names = self.awaited_hosts.keys().take(AWAITED_HOSTS_MAX);
        self.events.push(Event::TakeoverWaiting {
            waited_ms: now.micros_since(self.taken_over_at) / 1_000,
            hosts: self.awaited_hosts.len(),
            names: names.cloned().collect::<SmallVec<_>>(),
            jobs: jobs.count(),
        });
    }

    /// Reports once that the takeover doesn't wait for hosts any more.
    fn report_takeover_end(&mut self, now: Time) {
        if self.is_takeover_reported || !self.awaited_hosts.is_empty() {
            return;
        }
        self.is_takeover_reported = true;
        self.events.push(Event::TakeoverCompleted {
            waited_ms: now.micros_since(self.taken_over_at) / 1_000,
            unreported: self.unreported_hosts,
        });
    }
}

/// Returns whether a job has perpetual tasks that are to run.
fn is_lasting(job: &Job) -> bool {
    job.is_perpetual && !job.state.is_over()
}
