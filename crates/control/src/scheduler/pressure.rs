//! Interference between tasks on one worker.

use toucanquay_model::{Time, graph::Step, session::Stop};
use toucanquay_policy::pressure::Neighbour;

use super::{
    Note, Run, Scheduler,
    host::Host,
    intake::profile,
    key::{HostKey, RunKey},
};

/// Logarithm of the latency that is aimed at, as a share of its target.
const AIM: f64 = -0.22;

/// Time from the start of a sensitive task until its latency is learned from.
const WARM_MICROS: u64 = 1_500_000;

/// Change of an effect that is sent to the agent, in hundredths.
const CHANGE_MIN_PERCENT: u16 = 4;

/// Time for which an attempt must have been slow before it is moved.
const SLOW_MICROS: u64 = 1_500_000;

/// Least speed elsewhere for which an attempt is moved.
const MOVE_SPEED_MIN: f64 = 0.8;

impl Scheduler {
    pub(super) fn image(&mut self, step: &Step) -> usize {
        self.model.key(step.image.as_deref().unwrap_or_default())
    }

    /// Learns from the latencies on a host, tells its agent what has changed, and moves an attempt
    /// that hardly advances there.
    pub(super) fn learn_pressure(&mut self, key: HostKey, now: Time) {
        let host = &self.hosts[key];
        let neighbours = self.neighbours(host, |run| run.used_milli);
        let runs = host.runs.clone();
        for run in &runs {
            let Some(run) = self.runs.get_mut(*run) else {
                continue;
            };
            let Some(target_ms) = run.latency_target_ms else {
                continue;
            };
            if run.gauge > 0 && now >= run.started_at.plus_micros(WARM_MICROS) {
                let share = f64::from(run.gauge) / f64::from(target_ms.max(1));
                self.model
                    .observe(run.image, share, &mut run.alone, &neighbours);
            }
        }
        for run in &runs {
            self.send_pressure(*run);
        }
        self.move_slow(key, now);
    }

    /// Returns the effect of an attempt at full pace on its most disturbed neighbour, in
    /// hundredths of the logarithm of latency.
    pub(super) fn pressure_percent(&self, key: RunKey) -> u16 {
        let Some(run) = self.runs.get(key).filter(|run| run.idle_milli > 0) else {
            return 0;
        };
        let host = &self.hosts[run.host];
        let share = f64::from(run.idle_milli) / capacity_milli(host);
        let effect = |other: &Run| self.model.effect(other.image, run.image) * share;
        let sensitive = self.sensitive(host).map(effect);
        (sensitive.fold(0.0, f64::max) * 100.0).min(1_000.0) as u16
    }

    /// Returns the speed at which a task that uses idle processors would run on a host, from 0 to
    /// 1, as far as its neighbours allow.
    pub(super) fn allowed_speed(&self, host: &Host, image: usize, idle_milli: u32) -> f64 {
        // Attempts that are paused want their processors back.
        let neighbours = self.neighbours(host, |run| run.idle_milli);
        let share = f64::from(idle_milli) / capacity_milli(host);
        let speed = |other: &Run| {
            let room = AIM - other.alone - self.model.sum(other.image, &neighbours);
            let need = self.model.effect(other.image, image) * share;
            if need <= 0.01 {
                1.0
            } else {
                (room / need).clamp(0.0, 1.0)
            }
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

    fn send_pressure(&mut self, key: RunKey) {
        let pressure_percent = self.pressure_percent(key);
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let change = pressure_percent.abs_diff(run.pressure_sent);
        if change < CHANGE_MIN_PERCENT.max(run.pressure_sent / 5) {
            return;
        }
        run.pressure_sent = pressure_percent;
        let Some(job) = self.jobs.get(run.job) else {
            return;
        };
        let Some(step) = job.step(run.place) else {
            return;
        };
        let mut profile = profile(step);
        profile.pressure_percent = pressure_percent;
        let stop = Stop {
            task: job.name(run.place),
            attempt: run.attempt,
        };
        self.hosts[run.host].profiles.push((stop, profile));
    }

    /// Stops one attempt that hardly advances if it can go on at another host at once.
    fn move_slow(&mut self, key: HostKey, now: Time) {
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
