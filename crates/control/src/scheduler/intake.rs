//! Updates of agents.

use toucanquay_model::{
    Resources, Time,
    graph::{Place, Task},
    session::{AttemptStatus as Row, Phase as RunPhase, Profile, Rejection, Stop, Update},
};

use super::{
    Note, Run, Scheduler,
    key::{HostKey, JobKey, RunKey},
    task::Phase,
};

impl Scheduler {
    /// Takes an update of an agent.
    pub fn update(&mut self, update: &Update, now: Time) {
        let key = self.host_key(&update.host);
        let host = &mut self.hosts[key];
        let is_successor = host.process != 0 && host.process != update.process;
        if !host.is_connected || (!is_successor && update.number <= host.update) {
            return;
        }
        let is_fresh = host.is_fresh;
        host.is_successor |= is_successor;
        host.process = update.process;
        host.update = update.number;
        host.stamp = update.stamp;
        host.bound = self.settings.bound(now);
        self.take_worker(key, update, is_successor, now);
        if update.worker.is_some() {
            self.take_ends(key, update, now);
            self.take_runs(key, update, now);
            self.resolve_absent(key, update, is_fresh, now);
            self.see_latencies(update);
            if update.has_sample {
                self.learn_pressure(key, now);
            }
            self.move_slow(key, now);
            self.hosts[key].is_fresh = false;
            self.acknowledge_ends(key);
            if update.is_settled && self.awaited.remove(&update.host) {
                self.is_placement_due = true;
            }
        }
    }

    /// Gives up the attempts on hosts that were silent until their leases had ended.
    pub(super) fn expire_hosts(&mut self, now: Time) {
        let is_expired = |host: &super::Host| {
            !host.is_connected
                && now >= host.bound
                && (host.worker.is_some() || !host.runs.is_empty())
        };
        let expired: Vec<HostKey> = self
            .hosts
            .iter()
            .filter(|(_, host)| is_expired(host))
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.lose_worker(key, now);
        }
    }

    fn take_worker(&mut self, key: HostKey, update: &Update, is_successor: bool, now: Time) {
        let host = &mut self.hosts[key];
        let Some(worker) = &update.worker else {
            // A successor doesn't know the worker yet; a process that knew it says that it is gone.
            let is_gone = !is_successor && host.worker.is_some();
            host.worker = None;
            if is_gone {
                self.lose_worker(key, now);
            }
            return;
        };
        if host.life != worker.incarnation {
            if host.life != 0 {
                self.lose_worker(key, now);
            }
            self.hosts[key].life = worker.incarnation;
        }
        let host = &mut self.hosts[key];
        let was_draining = host
            .worker
            .as_ref()
            .is_some_and(|former| former.is_draining);
        if host.worker.as_ref() != Some(worker) {
            host.worker = Some(worker.clone());
            self.is_placement_due = true;
        }
        if worker.is_draining && !was_draining {
            self.evacuate(key, now);
        }
    }

    /// The worker's process has ended, and with it all that it ran.
    fn lose_worker(&mut self, key: HostKey, now: Time) {
        let host = &mut self.hosts[key];
        self.notes.push(Note::WorkerLost {
            host: host.name.clone(),
            attempts: host.runs.len(),
        });
        host.worker = None;
        host.life = 0;
        host.ends.clear();
        host.ends_seen = 0;
        host.acknowledged = 0;
        host.acknowledged_sent = 0;
        host.foreign = Resources::ZERO;
        host.starts.clear();
        host.stops.clear();
        for run in host.runs.clone() {
            self.release(run, now);
        }
    }

    /// Stops on a draining worker what can go on elsewhere.
    fn evacuate(&mut self, key: HostKey, now: Time) {
        let host = &self.hosts[key];
        let remaining_ms = host.worker.as_ref().and_then(|worker| worker.remaining_ms);
        let remaining_micros = remaining_ms.unwrap_or(0) * 1_000;
        let name = host.name.clone();
        let stops = host.stops.len();
        for run_key in host.runs.clone() {
            let Some(run) = self.runs.get(run_key) else {
                continue;
            };
            let Some(step) = self.jobs.get(run.job).and_then(|job| job.step(run.place)) else {
                continue;
            };
            let is_in_time = run.is_done_within(remaining_micros, now);
            if step.is_perpetual || (step.has_checkpoints && !is_in_time) {
                self.stop(run_key);
            }
        }
        self.notes.push(Note::Draining {
            host: name,
            moved: self.hosts[key].stops.len() - stops,
        });
    }

    fn take_ends(&mut self, key: HostKey, update: &Update, now: Time) {
        for end in &update.ends {
            if end.number <= self.hosts[key].ends_seen {
                continue;
            }
            self.hosts[key].ends_seen = end.number;
            let job = self.ids.get(&end.task.job).copied();
            self.end(key, end, now);
            let Some(job) = job else {
                self.hosts[key]
                    .ends
                    .push_back((end.number, JobKey::default(), 0));
                continue;
            };
            let version = self.jobs.get(job).map_or(0, |job| job.version);
            self.hosts[key].ends.push_back((end.number, job, version));
        }
    }

    fn take_runs(&mut self, key: HostKey, update: &Update, now: Time) {
        let mut foreign = Resources::ZERO;
        for row in &update.runs {
            if let Some(run) = self.run_on(key, row) {
                self.refresh(run, row, now);
            } else if !matches!(row.phase, RunPhase::Rejected(_)) && !self.adopt(key, row, now) {
                let profile = self.profile_of(row.task).unwrap_or_default();
                foreign = foreign.plus(&profile.occupied);
                if row.phase != RunPhase::Stopping {
                    self.hosts[key].stops.push(Stop {
                        task: row.task,
                        attempt: row.attempt,
                    });
                }
            }
        }
        self.hosts[key].foreign = foreign;
    }

    /// Takes what is known of an attempt of this owner.
    fn refresh(&mut self, key: RunKey, row: &Row, now: Time) {
        if let RunPhase::Rejected(reason) = row.phase {
            let pause = match reason {
                Rejection::Stopped | Rejection::SameTask => 0,
                _ => self.settings.retry_micros,
            };
            let placed = self.runs.get(key).map(|run| (run.job, run.place));
            self.release(key, now);
            if let Some((job, place)) = placed {
                self.pause(job, place, now.plus_micros(pause));
            }
            return;
        }
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.observe(row, now);
        let (job, place) = (run.job, run.place);
        let Some(job) = self.jobs.get_mut(job) else {
            return;
        };
        if row.phase == RunPhase::Running {
            job.begin();
        }
        if row.checkpoint.is_some()
            && let Some(task) = job.task_mut(place)
        {
            task.checkpoint.clone_from(&row.checkpoint);
        }
    }

    /// Takes over an attempt that an earlier owner started. Returns `false` if it must stop.
    fn adopt(&mut self, key: HostKey, row: &Row, now: Time) -> bool {
        let place = place_of(row.task);
        let Some(job_key) = self.ids.get(&row.task.job).copied() else {
            return false;
        };
        let Some(job) = self.jobs.get_mut(job_key) else {
            return false;
        };
        let is_waiting = |phase: Phase| phase == Phase::Waiting;
        let is_wanted =
            !job.state.is_over() && job.task(place).is_some_and(|task| is_waiting(task.phase));
        let Some(step) = job.step(place).filter(|_| is_wanted).cloned() else {
            return false;
        };
        job.begin();
        let image = self.model.key(step.image.as_deref().unwrap_or_default());
        let mut run = Run::new(job_key, place, row.attempt, key, &step, image, now);
        run.ordered_in = Some(0);
        // The task must not start elsewhere before this attempt has ended.
        run.is_stopping = row.phase == RunPhase::Stopping;
        let run = self.runs.insert(run);
        if let Some(task) = job.task_mut(place) {
            task.phase = Phase::Running(run);
            task.checkpoint.clone_from(&row.checkpoint);
        }
        let stop = Stop {
            task: row.task,
            attempt: row.attempt,
        };
        let host = &mut self.hosts[key];
        self.notes.push(Note::Adopted {
            task: row.task,
            attempt: row.attempt,
            host: host.name.clone(),
        });
        host.attach(run, &step);
        let profile = self.profile(&step, image);
        self.hosts[key].profiles.push((stop, profile));
        self.send_effects(key);
        true
    }

    /// Gives up attempts that the agent doesn't have.
    fn resolve_absent(&mut self, key: HostKey, update: &Update, is_fresh: bool, now: Time) {
        let is_successor = std::mem::take(&mut self.hosts[key].is_successor);
        for run_key in self.hosts[key].runs.clone() {
            let Some(run) = self.runs.get(run_key) else {
                continue;
            };
            let Some(job) = self.jobs.get(run.job) else {
                continue;
            };
            let task = job.name(run.place);
            let attempt = run.attempt;
            let is_listed = |row: &Row| row.task == task && row.attempt == attempt;
            if let Some(row) = update.runs.iter().find(|row| is_listed(row)) {
                if is_fresh {
                    self.resume(run_key, row.phase);
                }
                continue;
            }
            let was_sent = run.ordered_in.is_some();
            if is_fresh && is_successor && was_sent {
                // A start that the agent's former process sent may still take effect.
                self.resolve(run_key, Stop { task, attempt });
            } else if is_fresh
                || run
                    .ordered_in
                    .is_some_and(|number| number <= update.applied)
            {
                self.release(run_key, now);
            }
        }
    }

    /// Takes an attempt into a new session. A stop may have been lost with the former one.
    fn resume(&mut self, key: RunKey, phase: RunPhase) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.ordered_in = Some(0);
        if run.is_stopping && phase != RunPhase::Stopping {
            run.is_stopping = false;
            self.stop(key);
        }
    }

    fn resolve(&mut self, key: RunKey, stop: Stop) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.is_stopping = true;
        run.ordered_in = None;
        self.hosts[run.host].stops.push(stop);
    }

    fn run_on(&self, host: HostKey, row: &Row) -> Option<RunKey> {
        let job = self.jobs.get(*self.ids.get(&row.task.job)?)?;
        let Phase::Running(key) = job.task(place_of(row.task))?.phase else {
            return None;
        };
        let run = self.runs.get(key)?;
        (run.host == host && run.attempt == row.attempt).then_some(key)
    }

    fn profile_of(&self, task: Task) -> Option<Profile> {
        let job = self.jobs.get(*self.ids.get(&task.job)?)?;
        job.step(place_of(task)).map(profile)
    }
}

/// Returns the position of a task within its job.
pub(super) const fn place_of(task: Task) -> Place {
    Place {
        occurrence: task.occurrence,
        step: task.step,
        index: task.index,
    }
}

/// Returns what an agent must know of a step's tasks.
pub(super) const fn profile(step: &toucanquay_model::graph::Step) -> Profile {
    Profile {
        occupied: step.occupied(),
        idle_milli: step.idle_milli(),
        latency_target_ms: step.latency_target_ms,
        latency_floor_ms: 0,
        image: 0,
        uses_idle: step.uses_idle,
    }
}
