//! Placement of tasks near their data.
//!
//! Where the settings say how much longer a task takes elsewhere, tasks for which no place near
//! their data is free wait for one if that pays; see `docs/design/waits.md`.

use toucanquay_model::{Time, graph::Step, session::Worker};
use toucanquay_policy::locality::{Decision, Patience, Prospect, Reason};

use super::{
    Event, Scheduler,
    candidates::Candidates,
    key::HostKey,
    rack_room::{is_avoided, is_on_rack},
    rack_wait::RackWait,
    stage_ref::StageRef,
    task::Phase,
};

/// Amount by which the score of a host is lowered for tasks that need not run on its rack, if others
/// wait for that. It exceeds the differences between hosts with and without much room.
const WANTED_RACK_PENALTY: f64 = 2.0;

impl Scheduler {
    /// Returns whether tasks of a step run longer on other racks than the one that holds their data,
    /// and may wait for it. Perpetual tasks never wait, and the room for those that use idle
    /// processors isn't foreseen.
    pub(super) const fn weighs_rack(&self, step: &Step) -> bool {
        step.rack.is_some() && self.weighs_racks(step)
    }

    /// Returns whether it matters on which racks tasks of a step run.
    pub(super) const fn weighs_racks(&self, step: &Step) -> bool {
        self.settings.far_percent > 100 && !step.is_perpetual && !step.uses_idle
    }

    /// Places the waiting tasks of a stage near their data. Those that find no place there wait, or
    /// are placed anywhere. Returns `false` if one doesn't fit on any host.
    pub(super) fn place_by_rack(&mut self, stage: StageRef<'_>, now: Time) -> bool {
        let Some(rack) = &stage.step.rack else {
            return self.place_stage(stage, now);
        };
        let is_waiting = self.is_waiting_for_rack(stage);
        let since = self.last_search(stage, now);
        let is_unchanged =
            since.is_some_and(|round| self.hosts_changed_after(round).next().is_none());
        if is_unchanged && !is_waiting {
            return false;
        }
        self.place_near(stage, rack, since, now);
        let waiting = self.placeable_tasks(stage, now);
        if waiting == 0 {
            self.end_rack_wait(stage, None, now);
            return true;
        }
        let mut elsewhere = None;
        if !is_waiting {
            let candidates = self.candidates(stage, since, now);
            if candidates.is_empty() {
                // Without room elsewhere there is nothing to decide.
                return false;
            }
            elsewhere = Some(candidates);
        }
        match self.weigh(stage, rack, waiting, now) {
            Decision::Wait(patience) => {
                self.wait_for_rack(stage, rack, patience, now);
                true
            }
            Decision::Far(reason) => {
                self.end_rack_wait(stage, Some(reason), now);
                let candidates = elsewhere.unwrap_or_else(|| self.candidates(stage, since, now));
                let is_placed = self.place_on(stage, candidates, since, now);
                let left = self.placeable_tasks(stage, now);
                self.report_far_starts(stage, rack, waiting.saturating_sub(left), reason);
                is_placed
            }
        }
    }

    /// Returns the amount by which the score of a host is lowered for a step because others wait for
    /// its rack.
    pub(super) fn wanted_rack_penalty(&self, worker: &Worker, step: &Step) -> f64 {
        let is_near = step
            .rack
            .as_ref()
            .is_some_and(|rack| worker.labels.contains(rack));
        // Where sensitive tasks run is decided by their neighbours.
        let can_avoid = !step.uses_idle && step.latency_target_ms.is_none() && !is_near;
        if can_avoid && self.racks.is_wanted(worker) {
            WANTED_RACK_PENALTY
        } else {
            0.0
        }
    }

    fn is_waiting_for_rack(&self, stage: StageRef<'_>) -> bool {
        let wait = self.jobs[stage.job].stages[stage.index].rack_wait;
        wait.is_some_and(|wait| !wait.is_over)
    }

    /// Places the waiting tasks of a stage on the hosts of a rack, as many as fit. With `since`, only
    /// hosts that have changed in a later placement round are searched.
    fn place_near(&mut self, stage: StageRef<'_>, rack: &str, since: Option<u64>, now: Time) {
        let mut candidates = Candidates::default();
        for key in self.rack_hosts(rack) {
            let is_changed = since.is_none_or(|round| self.hosts[key].changed_in > round);
            if is_changed && let Some(score) = self.near_score(key, stage, now) {
                candidates.push(key, score);
            }
        }
        for index in 0..stage.step.tasks {
            let Some(avoided_host) = self
                .waiting_task(stage, index, now)
                .filter(|task| !task.is_suspect())
                .map(|task| task.avoided_host)
            else {
                continue;
            };
            let Some(host) = candidates.pop(avoided_host) else {
                return;
            };
            let attempt = self.next_attempt();
            self.start_task(stage, index, host, attempt, now);
            if let Some(score) = self.host_score(host, stage, now) {
                candidates.push(host, score);
            }
        }
    }

    /// Returns the hosts of a rack that fit a task of a stage and aren't avoided.
    pub(super) fn rack_candidates(
        &mut self,
        stage: StageRef<'_>,
        rack: &str,
        now: Time,
    ) -> Candidates {
        let mut candidates = Candidates::default();
        for key in self.rack_hosts(rack) {
            if let Some(score) = self.near_score(key, stage, now) {
                candidates.push(key, score);
            }
        }
        candidates
    }

    fn near_score(&self, key: HostKey, stage: StageRef<'_>, now: Time) -> Option<f64> {
        let score = self.host_score(key, stage, now);
        score.filter(|_| !is_avoided(&self.hosts[key], now))
    }

    /// Returns the number of tasks of a stage that may be placed now.
    fn placeable_tasks(&self, stage: StageRef<'_>, now: Time) -> usize {
        let tasks = (0..stage.step.tasks).filter_map(|index| self.waiting_task(stage, index, now));
        tasks.filter(|task| !task.is_suspect()).count()
    }

    /// Decides whether the waiting tasks of a stage wait for a rack.
    pub(super) fn weigh(
        &mut self,
        stage: StageRef<'_>,
        rack: &str,
        tasks: usize,
        now: Time,
    ) -> Decision {
        let wait = self.jobs[stage.job].stages[stage.index].rack_wait;
        if wait.is_some_and(|wait| wait.is_over) {
            return Decision::Far(Reason::Deadline);
        }
        if self.has_far_sibling(stage, rack) {
            return Decision::Far(Reason::Sibling);
        }
        let prospect = self.prospect(stage, now);
        let held = wait.map(|wait| wait.patience);
        if held.is_none()
            && let Err(reason) = prospect.patience(now)
        {
            return Decision::Far(reason);
        }
        let mut rack_forecast = self.take_forecast(stage.pool, rack, now);
        let claim = self.claim(stage, &rack_forecast, tasks, now);
        let decision = prospect.decide(&claim, &mut rack_forecast.forecast, held, now);
        self.racks.put(stage.pool, rack, rack_forecast);
        decision
    }

    /// Returns what a wait and a run elsewhere mean to the tasks of a stage.
    fn prospect(&self, stage: StageRef<'_>, now: Time) -> Prospect {
        let job = &self.jobs[stage.job];
        let place = self.place(stage, 0);
        let queue = self
            .queues
            .get(&job.queue)
            .unwrap_or(&job.queue_at_acceptance);
        let due_unix_ms = job.due_unix_ms(place.occurrence);
        let objective_unix_ms = due_unix_ms.saturating_add(job.objective_ms(queue) as u64);
        let opened_unix_ms = due_unix_ms.saturating_add(job.earliest_start_ms(place.step));
        let began_at = match job.stages[stage.index].rack_wait {
            Some(wait) => wait.began_at,
            // The tasks may have waited under the former owner.
            None if job.is_inherited => now.min(self.time_of_unix_ms(opened_unix_ms)),
            None => now,
        };
        Prospect {
            run_micros: stage.step.estimate_ms.saturating_mul(1_000),
            far_percent: self.settings.far_percent,
            rest_micros: job.remaining_path_ms.saturating_mul(1_000),
            objective_at: self.time_of_unix_ms(objective_unix_ms),
            began_at,
        }
    }

    /// Returns whether a task of a stage runs on another rack.
    fn has_far_sibling(&self, stage: StageRef<'_>, rack: &str) -> bool {
        let mut tasks = self.jobs[stage.job].stages[stage.index].tasks.iter();
        tasks.any(|task| match task.phase {
            Phase::Running(run) => {
                let host = self.runs.get(run).and_then(|run| self.hosts.get(run.host));
                host.is_some_and(|host| !is_on_rack(host, rack))
            }
            Phase::Waiting | Phase::Done => false,
        })
    }

    /// Lets the waiting tasks of a stage wait for a rack.
    pub(super) fn wait_for_rack(
        &mut self,
        stage: StageRef<'_>,
        rack: &str,
        patience: Patience,
        now: Time,
    ) {
        self.racks.want(rack, now);
        let began_at = self.prospect(stage, now).began_at;
        let wait = &mut self.jobs[stage.job].stages[stage.index].rack_wait;
        if wait.is_some() {
            return;
        }
        *wait = Some(RackWait {
            began_at,
            patience,
            is_over: false,
        });
        self.timers.insert((patience.until, stage.job));
        self.events.push(Event::RackWaitBegun {
            task: self.jobs[stage.job].task_id(self.place(stage, 0)),
            tasks: self.placeable_tasks(stage, now),
            rack: rack.to_owned(),
            remaining_ms: patience.until.micros_since(now) / 1_000,
            bound: patience.bound,
        });
    }

    /// Ends the wait of a stage, if it waits: near its data, or for a reason elsewhere.
    pub(super) fn end_rack_wait(&mut self, stage: StageRef<'_>, far: Option<Reason>, now: Time) {
        let place = self.place(stage, 0);
        let job = &mut self.jobs[stage.job];
        let task = job.task_id(place);
        let wait = job.stages[stage.index].rack_wait.as_mut();
        let Some(wait) = wait.filter(|wait| !wait.is_over) else {
            return;
        };
        wait.is_over = true;
        let waited_ms = now.micros_since(wait.began_at) / 1_000;
        self.events.push(Event::RackWaitEnded {
            task,
            waited_ms,
            far,
        });
    }

    fn report_far_starts(&mut self, stage: StageRef<'_>, rack: &str, tasks: usize, reason: Reason) {
        if tasks == 0 {
            return;
        }
        let place = self.place(stage, 0);
        self.events.push(Event::PlacedFar {
            task: self.jobs[stage.job].task_id(place),
            tasks,
            rack: rack.to_owned(),
            reason,
        });
    }
}
