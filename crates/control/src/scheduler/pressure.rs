//! Interference between tasks on one worker.

use smallvec::SmallVec;
use toucanquay_model::{
    Time,
    graph::{Step, Task},
    session::{InterferenceEffect, Profile, Update},
};
use toucanquay_policy::pressure::{AIM, Estimate, Neighbour};

use super::{
    Note, Run, Scheduler,
    host::Host,
    intake::{place_of, profile},
    key::{HostKey, RunKey},
    task::Phase,
};

/// Time from the start of a sensitive task until its latency is learned from.
const WARM_MICROS: u64 = 1_500_000;

/// Change of an effect that is sent to the agent, as a part of it and in hundredths.
const CHANGE_PART: u16 = 8;
const CHANGE_MIN_PERCENT: u16 = 10;

/// Effect that counts as none.
const EFFECT_MIN: f64 = 0.005;

/// Time for which an attempt must have been slow before it is moved.
const SLOW_MICROS: u64 = 1_500_000;

/// Least speed elsewhere for which an attempt is moved.
const MOVE_SPEED_MIN: f64 = 0.8;

impl Scheduler {
    pub(super) fn image(&mut self, step: &Step) -> usize {
        self.model.key(step.image.as_deref().unwrap_or_default())
    }

    /// Returns what an agent must know of a step's tasks.
    pub(super) fn profile(&self, step: &Step, image: usize) -> Profile {
        Profile {
            latency_floor_ms: self.model.floor_ms(image).unwrap_or(0),
            image: u32::try_from(image).unwrap_or(u32::MAX),
            ..profile(step)
        }
    }

    /// Takes the lowest latencies that an agent has seen.
    pub(super) fn see_latencies(&mut self, update: &Update) {
        for row in &update.runs {
            let run = self.run_of(row.task, row.attempt);
            if let Some(run) = run.filter(|run| run.is_sensitive()) {
                self.model.see(run.image, row.gauge_min);
            }
        }
    }

    fn run_of(&self, task: Task, attempt: u64) -> Option<&Run> {
        let job = self.jobs.get(*self.ids.get(&task.job)?)?;
        let Phase::Running(key) = job.task(place_of(task))?.phase else {
            return None;
        };
        self.runs.get(key).filter(|run| run.attempt == attempt)
    }

    /// Learns from the present latencies on a host, and tells its agent what has changed.
    pub(super) fn learn_pressure(&mut self, key: HostKey, now: Time) {
        let host = &self.hosts[key];
        let neighbours = self.neighbours(host, |run| run.used_milli);
        for run in host.runs.clone() {
            let Some(run) = self.runs.get_mut(run).filter(|run| run.is_sensitive()) else {
                continue;
            };
            if run.gauge > 0 && now >= run.started_at.plus_micros(WARM_MICROS) {
                let latency_ms = f64::from(run.gauge);
                self.model
                    .observe(run.image, latency_ms, &mut run.load, &neighbours);
            }
        }
        self.send_effects(key);
    }

    /// Tells a host's agent the effects of the images on its worker that have changed.
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
            let estimate = self.model.estimate(pair.0, pair.1);
            let percent = (estimate.value * 100.0) as u16;
            let is_new = host.effects_sent.get(&pair).is_none_or(|sent| {
                sent.abs_diff(percent) >= CHANGE_MIN_PERCENT.max(*sent / CHANGE_PART)
            });
            if is_new {
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

    /// Returns the speed at which a task that uses idle processors would run on a host, from 0 to
    /// 1, as far as its neighbours allow.
    pub(super) fn allowed_speed(&self, host: &Host, image: usize, idle_milli: u32) -> f64 {
        // Attempts that are paused want their processors back.
        let neighbours = self.neighbours(host, |run| run.idle_milli);
        let share = f64::from(idle_milli) / capacity_milli(host);
        let speed = |other: &Run| {
            let need = self.model.effect(other.image, image) * share;
            if need <= EFFECT_MIN {
                return 1.0;
            }
            let aim_ms = f64::from(other.latency_target_ms.unwrap_or(0)) * AIM;
            let room = self.model.room(other.image, other.load.value, aim_ms);
            let taken = self.model.factor(other.image, &neighbours) - 1.0;
            ((room - taken) / need).clamp(0.0, 1.0)
        };
        self.sensitive(host).map(speed).fold(1.0, f64::min)
    }

    fn sensitive<'a>(&'a self, host: &'a Host) -> impl Iterator<Item = &'a Run> {
        let runs = host.runs.iter().filter_map(|key| self.runs.get(*key));
        runs.filter(|run| run.is_sensitive())
    }

    fn neighbours(&self, host: &Host, milli: impl Fn(&Run) -> u32) -> Vec<Neighbour> {
        let runs = host.runs.iter().filter_map(|key| self.runs.get(*key));
        let capacity_milli = capacity_milli(host);
        runs.filter(|run| run.idle_milli > 0)
            .map(|run| Neighbour {
                image: run.image,
                share: f64::from(milli(run)) / capacity_milli,
            })
            .collect()
    }

    /// Stops one attempt that hardly advances if it can go on at another host at once.
    pub(super) fn move_slow(&mut self, key: HostKey, now: Time) {
        let is_slow = |run: &&RunKey| {
            let run = self.runs.get(**run);
            run.is_some_and(|run| {
                let since = run.slow_since.unwrap_or(Time::NEVER);
                !run.is_stopping && now >= since.plus_micros(SLOW_MICROS)
            })
        };
        let Some(slow) = self.hosts[key].runs.iter().find(is_slow).copied() else {
            return;
        };
        let run = &self.runs[slow];
        let Some(step) = self.jobs.get(run.job).and_then(|job| job.step(run.place)) else {
            return;
        };
        // A perpetual task would be away for a while, which its users would notice.
        if !step.has_checkpoints || step.is_perpetual {
            return;
        }
        let pool = self.hosts[key]
            .worker
            .as_ref()
            .map(|worker| worker.pool.clone());
        let image = run.image;
        let has_better = self.hosts.iter().any(|(other, host)| {
            let pool = pool.as_deref().unwrap_or_default();
            other != key && self.speed(host, pool, step, image) >= Some(MOVE_SPEED_MIN)
        });
        if has_better {
            let run = &self.runs[slow];
            if let Some(job) = self.jobs.get(run.job) {
                self.notes.push(Note::Moved {
                    task: job.name(run.place),
                    attempt: run.attempt,
                    host: self.hosts[key].name.clone(),
                });
            }
            self.stop(slow);
        }
    }
}

fn capacity_milli(host: &Host) -> f64 {
    let capacity = host
        .worker
        .as_ref()
        .map(|worker| worker.capacity.processors_milli);
    f64::from(capacity.unwrap_or(1).max(1))
}
