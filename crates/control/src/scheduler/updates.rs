//! Processing of the updates that agents send.

use toucanquay_model::{
    Resources, Time,
    graph::{Place, Task},
    session::{AttemptStatus as ReportedRun, Phase as RunPhase, Profile, Rejection, Stop, Update},
};

use super::{
    Event, Loss, Run, Scheduler,
    key::{HostKey, JobKey, RunKey},
    task::Phase,
};

impl Scheduler {
    /// Processes an update from an agent. Ignores it if the host has no session, or if the update
    /// is not newer than the last processed one of the same agent process.
    pub fn update(&mut self, update: &Update, now: Time) {
        let key = self.host_key(&update.host);
        let host = &mut self.hosts[key];
        let is_agent_restarted =
            host.agent_incarnation != 0 && host.agent_incarnation != update.process;
        if !host.is_connected || (!is_agent_restarted && update.number <= host.update_number) {
            return;
        }
        let is_first_update = host.is_first_update;
        host.is_agent_restarted |= is_agent_restarted;
        host.agent_incarnation = update.process;
        host.update_number = update.number;
        if update.worker.is_some() {
            host.update_stamp = update.stamp;
            host.update_received_at = now;
            host.lease_end_bound = self.settings.lease_end_bound(now);
        } else {
            // The orders must not extend a lease that the owner can't tell to be of use: the worker
            // may be lost without a sign, or may have ended together with the former agent, and then
            // nobody reports its end.
            host.update_stamp = Time::ZERO;
        }
        let begins_to_drain = self.apply_worker(key, update, is_agent_restarted, now);
        self.apply_crashes(key, update, now);
        if update.worker.is_none() {
            self.apply_rejections(key, update, now);
        } else {
            self.apply_ends(key, update, now);
            self.apply_runs(key, update, now);
            self.release_missing_runs(key, update, is_first_update, now);
            if begins_to_drain {
                // Attempts that were found in the same update are adopted by now.
                self.evacuate(key, now);
            }
            self.record_latency_floors(update);
            if update.has_sample {
                self.learn_interference(key, now);
            }
            self.move_slow_run(key, now);
            if is_first_update {
                self.hosts[key].is_first_update = false;
                self.mark_host_changed(key);
            }
            self.acknowledge_ends(key);
            self.acknowledge_crashes(key);
        }
        if is_settled(update) && self.awaited_hosts.remove(&update.host).is_some() {
            self.is_placement_due = true;
        }
    }

    /// Releases the attempts on hosts whose leases have ended: those that are disconnected, and
    /// those whose agent doesn't know its worker or doesn't hear from it.
    pub(super) fn expire_hosts(&mut self, now: Time) {
        let is_expired = |host: &super::Host| {
            (!host.is_connected || host.worker.is_none())
                && now >= host.lease_end_bound
                && (host.worker.is_some() || !host.runs.is_empty())
        };
        let expired: Vec<HostKey> = self
            .hosts
            .iter()
            .filter(|(_, host)| is_expired(host))
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.handle_worker_loss(key, Loss::Silent, now);
        }
    }

    /// Updates the worker of a host. Returns whether it begins to drain.
    fn apply_worker(
        &mut self,
        key: HostKey,
        update: &Update,
        is_agent_restarted: bool,
        now: Time,
    ) -> bool {
        let host = &mut self.hosts[key];
        let Some(worker) = &update.worker else {
            // A restarted agent does not know the worker yet. An agent that did know it reports
            // that the worker is silent or gone.
            let was_known = host.worker.is_some() || host.is_worker_silent;
            let is_gone = !is_agent_restarted && !update.is_worker_silent && was_known;
            host.worker = None;
            host.is_worker_silent = update.is_worker_silent;
            let is_vacant = !host.runs.is_empty() && is_vacant(update);
            if is_vacant {
                self.apply_unreported_crash(key, now);
            }
            if is_gone || is_vacant {
                self.handle_worker_loss(key, Loss::Exited, now);
            }
            return false;
        };
        host.refute_crash(worker.incarnation);
        if host.worker_incarnation != worker.incarnation {
            if host.worker_incarnation != 0 {
                self.apply_unreported_crash(key, now);
                self.handle_worker_loss(key, Loss::Restarted, now);
            }
            self.hosts[key].worker_incarnation = worker.incarnation;
        }
        let host = &mut self.hosts[key];
        let was_draining = host
            .worker
            .as_ref()
            .is_some_and(|former| former.is_draining);
        host.is_worker_draining = worker.is_draining;
        host.is_worker_silent = false;
        if host.worker.as_ref() != Some(worker) {
            host.worker = Some(worker.clone());
            host.evacuated_after = self.evacuations.evacuated_after(&worker.zone);
            self.mark_host_changed(key);
            self.is_placement_due = true;
        }
        worker.is_draining && !was_draining
    }

    /// Resets the state of a worker whose process has ended and releases all its attempts.
    fn handle_worker_loss(&mut self, key: HostKey, reason: Loss, now: Time) {
        let host = &mut self.hosts[key];
        self.events.push(Event::WorkerLost {
            host: host.name.clone(),
            reason,
            attempts: host.runs.len(),
        });
        host.worker = None;
        host.is_worker_silent = false;
        host.worker_incarnation = 0;
        host.unacknowledged_ends.clear();
        host.last_end = 0;
        host.acknowledged = 0;
        host.acknowledged_sent = 0;
        host.untracked = Resources::ZERO;
        host.starts.clear();
        host.stops.clear();
        for run in host.runs.clone() {
            self.release_run(run, now);
        }
    }

    /// Stops the attempts on a draining worker that can continue elsewhere: perpetual tasks, and
    /// tasks with checkpoints that would not finish before the worker ends.
    fn evacuate(&mut self, key: HostKey, now: Time) {
        let host = &self.hosts[key];
        let remaining_ms = host.worker.as_ref().and_then(|worker| worker.remaining_ms);
        let remaining_micros = remaining_ms.unwrap_or(0).saturating_mul(1_000);
        let name = host.name.clone();
        let stops_before = host.stops.len();
        for run_key in host.runs.clone() {
            let Some(run) = self.runs.get(run_key) else {
                continue;
            };
            let Some(step) = self.jobs.get(run.job).and_then(|job| job.step(run.place)) else {
                continue;
            };
            let is_in_time = run.is_done_within(remaining_micros, now);
            if step.is_perpetual || (step.has_checkpoints && !is_in_time) {
                self.stop_run(run_key);
            }
        }
        self.events.push(Event::Draining {
            host: name,
            moved: self.hosts[key].stops.len() - stops_before,
        });
    }

    fn apply_ends(&mut self, key: HostKey, update: &Update, now: Time) {
        for end in &update.ends {
            if end.number <= self.hosts[key].last_end {
                continue;
            }
            self.hosts[key].last_end = end.number;
            let job = self.job_keys.get(&end.task.job).copied();
            self.handle_end(key, end, now);
            let Some(job) = job else {
                self.hosts[key]
                    .unacknowledged_ends
                    .push_back((end.number, JobKey::default(), 0));
                continue;
            };
            let version = self.jobs.get(job).map_or(0, |job| job.version);
            self.hosts[key]
                .unacknowledged_ends
                .push_back((end.number, job, version));
        }
    }

    fn apply_runs(&mut self, key: HostKey, update: &Update, now: Time) {
        let mut untracked = Resources::ZERO;
        for reported in &update.runs {
            if let Some(run) = self.find_run_on_host(key, reported) {
                self.update_run(run, reported, now);
            } else if !matches!(reported.phase, RunPhase::Rejected(_))
                && !self.adopt(key, reported, now)
            {
                let profile = self.task_profile(reported.task);
                untracked = untracked.plus(&profile.unwrap_or_default().occupied);
                let attempt = Stop {
                    task: reported.task,
                    attempt: reported.attempt,
                };
                let is_stopping = reported.phase == RunPhase::Stopping;
                let host = &mut self.hosts[key];
                if !is_stopping {
                    host.stops.push(attempt);
                }
                if !is_stopping || host.is_first_update {
                    // An agent that doesn't know the size of an attempt starts nothing beside it.
                    host.profiles
                        .extend(profile.map(|profile| (attempt, profile)));
                }
            }
        }
        if self.hosts[key].untracked != untracked {
            self.hosts[key].untracked = untracked;
            self.mark_host_changed(key);
        }
    }

    /// Releases the attempts that an agent has rejected. They never run, whatever its worker does.
    fn apply_rejections(&mut self, key: HostKey, update: &Update, now: Time) {
        for reported in &update.runs {
            if matches!(reported.phase, RunPhase::Rejected(_))
                && let Some(run) = self.find_run_on_host(key, reported)
            {
                self.update_run(run, reported, now);
            }
        }
    }

    /// Updates a known attempt from the agent's report.
    fn update_run(&mut self, key: RunKey, reported: &ReportedRun, now: Time) {
        if let RunPhase::Rejected(reason) = reported.phase {
            let delay_micros = match reason {
                Rejection::Stopped | Rejection::SameTask => 0,
                _ => self.settings.retry_delay_micros,
            };
            let placed = self.runs.get(key).map(|run| (run.job, run.place, run.host));
            self.release_run(key, now);
            if let Some((job, place, host)) = placed {
                self.delay_task(job, place, now.plus_micros(delay_micros));
                self.avoid_host(job, place, host);
                self.hosts[host].rejected_until =
                    now.plus_micros(self.settings.rejection_avoidance_micros);
            }
            return;
        }
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.apply_report(reported, now);
        let (job_key, place, host) = (run.job, run.place, run.host);
        if reported.has_survived_start {
            self.end_probe(host, key);
            self.outlive_start(job_key, place, reported.attempt);
        }
        let Some(job) = self.jobs.get_mut(job_key) else {
            return;
        };
        if reported.phase == RunPhase::Running {
            job.mark_started();
        }
        // A copy that began without the checkpoint of the other attempt must not replace it.
        if reported.checkpoint.is_some()
            && let Some(task) = job.task_mut(place)
            && task.phase == Phase::Running(key)
        {
            task.checkpoint.clone_from(&reported.checkpoint);
        }
    }

    /// Adopts an attempt that a former owner started. Returns `false` if the attempt must be
    /// stopped.
    fn adopt(&mut self, key: HostKey, reported: &ReportedRun, now: Time) -> bool {
        let place = task_place(reported.task);
        let Some(job_key) = self.job_keys.get(&reported.task.job).copied() else {
            return false;
        };
        let is_wanted = self.is_attempt_wanted(job_key, place, key);
        let Some(job) = self.jobs.get_mut(job_key) else {
            return false;
        };
        let Some(step) = job.step(place).filter(|_| is_wanted).cloned() else {
            return false;
        };
        job.mark_started();
        let image = self
            .interference
            .intern_image(step.image.as_deref().unwrap_or_default());
        let mut run = Run::new(job_key, place, reported.attempt, key, &step, image, now);
        run.orders_number = Some(0);
        // Until this attempt has ended, the task must not start elsewhere.
        run.is_stopping = reported.phase == RunPhase::Stopping;
        run.is_adopted = true;
        run.has_survived_start = reported.has_survived_start;
        let run = self.runs.insert(run);
        job.add_run();
        if let Some(task) = job.task_mut(place) {
            if let Phase::Running(first) = task.phase {
                task.copy = Some(run);
                self.runs[run].is_copy = reported.attempt > self.runs[first].attempt;
                self.runs[first].is_copy = !self.runs[run].is_copy;
            } else {
                task.phase = Phase::Running(run);
                task.checkpoint.clone_from(&reported.checkpoint);
            }
            if reported.phase == RunPhase::Running {
                task.ran_at = now;
            }
        }
        let stop = Stop {
            task: reported.task,
            attempt: reported.attempt,
        };
        let host = &mut self.hosts[key];
        self.events.push(Event::Adopted {
            task: reported.task,
            attempt: reported.attempt,
            host: host.name.clone(),
        });
        host.add_run(run, &step);
        self.send_profile(run, stop);
        if reported.has_survived_start {
            self.outlive_start(job_key, place, reported.attempt);
        } else if self.is_suspect(job_key, place) {
            self.join_probe(run, now);
        }
        true
    }

    /// Releases the attempts that the agent does not list.
    fn release_missing_runs(
        &mut self,
        key: HostKey,
        update: &Update,
        is_first_update: bool,
        now: Time,
    ) {
        let is_agent_restarted = std::mem::take(&mut self.hosts[key].is_agent_restarted);
        for run_key in self.hosts[key].runs.clone() {
            let Some(run) = self.runs.get(run_key) else {
                continue;
            };
            let Some(job) = self.jobs.get(run.job) else {
                continue;
            };
            let task = job.task_id(run.place);
            let attempt = run.attempt;
            let is_listed =
                |reported: &ReportedRun| reported.task == task && reported.attempt == attempt;
            if let Some(reported) = update.runs.iter().find(|reported| is_listed(reported)) {
                if is_first_update {
                    self.resume_run(run_key, reported.phase);
                    self.send_profile(run_key, Stop { task, attempt });
                }
                continue;
            }
            let was_sent = run.orders_number.is_some();
            let is_unresolved = run.is_unresolved || (is_agent_restarted && was_sent);
            if is_first_update && is_unresolved {
                // A start that a former process of the agent sent may still reach the worker.
                self.resolve_by_stop(run_key, Stop { task, attempt });
            } else if is_first_update
                || run
                    .orders_number
                    .is_some_and(|number| number <= update.applied)
            {
                self.release_run(run_key, now);
            }
        }
    }

    /// Carries an attempt over into a new session. Orders the stop again, because it may have been
    /// lost with the former session.
    fn resume_run(&mut self, key: RunKey, phase: RunPhase) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.orders_number = Some(0);
        if run.is_stopping && phase != RunPhase::Stopping {
            run.is_stopping = false;
            self.stop_run(key);
        }
    }

    /// Describes an attempt to an agent that may have found it on its worker.
    fn send_profile(&mut self, key: RunKey, attempt: Stop) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let Some(step) = self.jobs.get(run.job).and_then(|job| job.step(run.place)) else {
            return;
        };
        let (host, profile) = (run.host, self.profile(step, run.image));
        self.hosts[host].profiles.push((attempt, profile));
        self.send_effects(host);
    }

    /// Orders a stop of an attempt whose start may still take effect. The attempt is released once
    /// the agent has answered the stop, which may be lost with a session and is ordered again in the
    /// next one.
    fn resolve_by_stop(&mut self, key: RunKey, stop: Stop) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.is_stopping = true;
        run.is_unresolved = true;
        run.orders_number = None;
        self.hosts[run.host].stops.push(stop);
        self.send_profile(key, stop);
    }

    fn find_run_on_host(&self, host: HostKey, reported: &ReportedRun) -> Option<RunKey> {
        let job_key = *self.job_keys.get(&reported.task.job)?;
        let place = task_place(reported.task);
        let is_reported = |key: &RunKey| {
            self.runs.get(*key).is_some_and(|run| {
                run.host == host
                    && run.attempt == reported.attempt
                    && run.place == place
                    && run.job == job_key
            })
        };
        let task = self.jobs.get(job_key)?.task(place)?;
        if let Some(key) = task.runs().find(is_reported) {
            return Some(key);
        }
        // The attempt of a task that is done elsewhere is on the host until it has stopped.
        let is_done = task.phase == Phase::Done;
        let mut runs = self.hosts[host].runs.iter().filter(|_| is_done);
        runs.find(|key| is_reported(key)).copied()
    }

    fn task_profile(&self, task: Task) -> Option<Profile> {
        let job = self.jobs.get(*self.job_keys.get(&task.job)?)?;
        job.step(task_place(task)).map(base_profile)
    }
}

/// Returns whether no unknown attempt runs on a host. Attempts that an agent lists before it has
/// heard from its worker are not adopted yet.
fn is_settled(update: &Update) -> bool {
    let is_heard = update.worker.is_some() || update.is_worker_silent;
    update.is_settled && (is_heard || update.runs.is_empty())
}

/// Returns whether nothing runs on a host whose agent knows no worker: neither by order of this owner
/// nor of a former one.
fn is_vacant(update: &Update) -> bool {
    update.worker.is_none() && !update.is_worker_silent && is_settled(update)
}

/// Returns the position of a task within its job.
pub(super) const fn task_place(task: Task) -> Place {
    Place {
        occurrence: task.occurrence,
        step: task.step,
        index: task.index,
    }
}

/// Returns the part of a step's profile that does not depend on the interference model.
pub(super) const fn base_profile(step: &toucanquay_model::graph::Step) -> Profile {
    Profile {
        occupied: step.occupied(),
        idle_milli: step.idle_milli(),
        latency_target_ms: step.latency_target_ms,
        latency_floor_ms: 0,
        image: 0,
        uses_idle: step.uses_idle,
    }
}
