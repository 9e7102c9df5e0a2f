//! Interference between tasks on one worker.

use smallvec::SmallVec;
use toucanquay_model::{
    Time,
    graph::{Step, Task},
    session::{InterferenceEffect, Profile, Update},
};
use toucanquay_policy::image_interference::{Estimate, LATENCY_SETPOINT_RATIO, Neighbour};

use super::{
    Run, Scheduler,
    headroom::Headroom,
    host::Host,
    key::HostKey,
    task::Phase,
    updates::{base_profile, task_place},
};

/// Time from the start of a sensitive task until its latency is used to train the interference
/// model.
const WARMUP_MICROS: u64 = 1_500_000;

/// An effect is sent to the agent again when it has changed by at least the last sent value divided
/// by the divisor, and by at least the minimum, which is in hundredths.
const EFFECT_CHANGE_DIVISOR: u16 = 8;
const EFFECT_CHANGE_MIN_PERCENT: u16 = 10;

/// Effect up to which a task counts as not interfering.
const NEGLIGIBLE_EFFECT: f64 = 0.005;

impl Scheduler {
    pub(super) fn image_key(&mut self, step: &Step) -> usize {
        self.interference
            .intern_image(step.image.as_deref().unwrap_or_default())
    }

    /// Returns the profile of a step's tasks for an agent, with the known latency floor of the
    /// image.
    pub(super) fn profile(&self, step: &Step, image: usize) -> Profile {
        Profile {
            latency_floor_ms: self.interference.floor_ms(image).unwrap_or(0),
            image: u32::try_from(image).unwrap_or(u32::MAX),
            ..base_profile(step)
        }
    }

    /// Records the lowest latency of each sensitive attempt in an agent's update.
    pub(super) fn record_latency_floors(&mut self, update: &Update) {
        for reported in &update.runs {
            let run = self.find_run(reported.task, reported.attempt);
            if let Some(run) = run.filter(|run| run.is_sensitive()) {
                self.interference
                    .record_latency(run.image, reported.gauge_min);
            }
        }
    }

    fn find_run(&self, task: Task, attempt: u64) -> Option<&Run> {
        let job = self.jobs.get(*self.job_keys.get(&task.job)?)?;
        let Phase::Running(key) = job.task(task_place(task))?.phase else {
            return None;
        };
        self.runs.get(key).filter(|run| run.attempt == attempt)
    }

    /// Trains the interference model on the current latencies on a host, and queues changed effects
    /// for its agent.
    pub(super) fn learn_interference(&mut self, key: HostKey, now: Time) {
        let host = &self.hosts[key];
        let neighbours = self.neighbours(host, |run| run.used_milli);
        for run in host.runs.clone() {
            let Some(run) = self.runs.get_mut(run).filter(|run| run.is_sensitive()) else {
                continue;
            };
            if run.gauge > 0 && now >= run.started_at.plus_micros(WARMUP_MICROS) {
                let latency_ms = f64::from(run.gauge);
                self.interference
                    .observe(run.image, latency_ms, &mut run.load, &neighbours);
            }
        }
        self.mark_host_changed(key);
        self.send_effects(key);
    }

    /// Queues for a host's agent the changed effects between the images on its worker.
    pub(super) fn send_effects(&mut self, key: HostKey) {
        let host = &self.hosts[key];
        let runs = || host.runs.iter().filter_map(|run| self.runs.get(*run));
        let mut sensitive: SmallVec<[usize; 8]> = SmallVec::new();
        let mut others: SmallVec<[usize; 8]> = SmallVec::new();
        for run in runs() {
            let images = if run.is_sensitive() {
                &mut sensitive
            } else if run.idle_milli > 0 {
                &mut others
            } else {
                continue;
            };
            if !images.contains(&run.image) {
                images.push(run.image);
            }
        }
        let mut changed: Vec<((usize, usize), Estimate)> = Vec::new();
        for pair in sensitive
            .iter()
            .flat_map(|image| others.iter().map(move |other| (*image, *other)))
        {
            let estimate = self.interference.estimate(pair.0, pair.1);
            let percent = (estimate.value * 100.0) as u16;
            let is_changed = host.effects_sent.get(&pair).is_none_or(|sent| {
                sent.abs_diff(percent)
                    >= EFFECT_CHANGE_MIN_PERCENT.max(*sent / EFFECT_CHANGE_DIVISOR)
            });
            if is_changed {
                changed.push((pair, estimate));
            }
        }
        let host = &mut self.hosts[key];
        for (pair, estimate) in changed {
            let percent = (estimate.value * 100.0) as u16;
            host.effects_sent.insert(pair, percent);
            host.effects.push(InterferenceEffect {
                sensitive: u32::try_from(pair.0).unwrap_or(u32::MAX),
                other: u32::try_from(pair.1).unwrap_or(u32::MAX),
                percent,
                deviation_percent: (estimate.deviation() * 100.0) as u16,
            });
        }
    }

    /// Returns the speed, from 0 to 1, at which a task that uses idle processors can run on a host
    /// without raising the latency of a sensitive task there above its setpoint.
    pub(super) fn allowed_speed(&self, host: &Host, image: usize, idle_milli: u32) -> f64 {
        let share = f64::from(idle_milli) / capacity_milli(host);
        let speed = |headroom: &Headroom| {
            let added_slowdown = self.interference.effect(headroom.image, image) * share;
            if added_slowdown <= NEGLIGIBLE_EFFECT {
                return 1.0;
            }
            (headroom.slowdown / added_slowdown).clamp(0.0, 1.0)
        };
        let headrooms = host.headrooms.get_or_init(|| self.headrooms(host));
        headrooms.iter().map(speed).fold(1.0, f64::min)
    }

    /// Returns the headroom of the sensitive attempts on a host, by image.
    fn headrooms(&self, host: &Host) -> SmallVec<[Headroom; 4]> {
        // Counts the full demand of each attempt rather than its usage, because a paused attempt
        // will use its processors again.
        let neighbours = self.neighbours(host, |run| run.idle_milli);
        let mut headrooms: SmallVec<[Headroom; 4]> = SmallVec::new();
        for run in self.sensitive_runs(host) {
            let setpoint_ms =
                f64::from(run.latency_target_ms.unwrap_or(0)) * LATENCY_SETPOINT_RATIO;
            let total = self
                .interference
                .headroom(run.image, run.load.value, setpoint_ms);
            let used = self.interference.slowdown(run.image, &neighbours) - 1.0;
            let slowdown = total - used;
            match headrooms.iter_mut().find(|known| known.image == run.image) {
                Some(known) => known.slowdown = known.slowdown.min(slowdown),
                None => headrooms.push(Headroom {
                    image: run.image,
                    slowdown,
                }),
            }
        }
        headrooms
    }

    fn sensitive_runs<'a>(&'a self, host: &'a Host) -> impl Iterator<Item = &'a Run> {
        let runs = host.runs.iter().filter_map(|key| self.runs.get(*key));
        runs.filter(|run| run.is_sensitive())
    }

    fn neighbours(&self, host: &Host, milli: impl Fn(&Run) -> u32) -> Vec<Neighbour> {
        let runs = host.runs.iter().filter_map(|key| self.runs.get(*key));
        let capacity_milli = capacity_milli(host);
        runs.filter(|run| run.idle_milli > 0)
            .map(|run| Neighbour {
                image: run.image,
                processor_share: f64::from(milli(run)) / capacity_milli,
            })
            .collect()
    }
}

fn capacity_milli(host: &Host) -> f64 {
    let capacity = host
        .worker
        .as_ref()
        .map(|worker| worker.capacity.processors_milli);
    f64::from(capacity.unwrap_or(1).max(1))
}
