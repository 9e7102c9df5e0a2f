//! Workers that stand still or are slow although they answer.

use toucanquay_model::Time;

use super::{
    Run, Scheduler,
    host::{Host, STALL_MICROS_MIN},
    key::{HostKey, RunKey},
};

/// Time without an advance after which an attempt counts as standing still.
const STILL_MICROS: u64 = 1_200_000;

/// Longest time for which a worker is avoided because its tasks stand still.
const STALL_MICROS_MAX: u64 = 8_000_000;

/// Time from a start until the speed of an attempt is measured.
const WARM_MICROS: u64 = 300_000;

/// Part by which a second of measured work moves the average speed.
const SPEED_RATE: f64 = 0.25;

/// Largest ratio that one measurement counts for; estimates are rough.
const SPEED_MAX: f64 = 3.0;

/// Speed below this share of the median of all workers counts as slow.
const SLOW_SHARE: f64 = 0.4;

impl Scheduler {
    /// Measures the speed of a worker, and moves attempts that stand still or hardly advance.
    ///
    /// It answers workers that hang or turn slow while their health is good.
    pub(super) fn check_health(&mut self, key: HostKey, now: Time) {
        self.measure_speed(key, now);
        if self.is_still(key, now) {
            let host = &mut self.hosts[key];
            host.avoid_until = now.plus_micros(host.stall_micros);
            host.stall_micros = (host.stall_micros * 2).min(STALL_MICROS_MAX);
            self.move_runs(key, |run| run.is_working() && run.is_still(now));
        } else if self.is_slow(key) {
            self.move_runs(key, |run| run.is_working() && run.is_hopeless(now));
        }
    }

    /// Tells whether a worker is much slower than the others.
    pub(super) fn is_slow(&self, key: HostKey) -> bool {
        let mut speeds: Vec<f64> = self.hosts.values().map(|host| host.speed).collect();
        speeds.sort_by(f64::total_cmp);
        let median = speeds.get(speeds.len() / 2).copied().unwrap_or(1.0);
        self.hosts[key].speed < median * SLOW_SHARE
    }

    fn measure_speed(&mut self, key: HostKey, now: Time) {
        let host = &self.hosts[key];
        let elapsed_ms = now.micros_since(host.measured_at) as f64 / 1_000.0;
        let is_first = host.measured_at == Time::ZERO;
        let is_measured = |run: &&Run| {
            run.is_working()
                && run.idle_milli == 0
                && now >= run.started_at.plus_micros(WARM_MICROS)
        };
        let (mut expected_ms, mut actual_ms) = (0.0, 0.0);
        for run in runs(self, host).filter(is_measured) {
            expected_ms += elapsed_ms;
            actual_ms += f64::from(run.advance_percent) / 100.0 * run.estimate_ms as f64;
        }
        let host = &mut self.hosts[key];
        host.measured_at = now;
        if expected_ms > 0.0 && !is_first {
            let ratio = (actual_ms / expected_ms).min(SPEED_MAX);
            let rate = (SPEED_RATE * expected_ms / 1_000.0).min(0.5);
            host.speed += rate * (ratio - host.speed);
        }
    }

    /// Tells whether nothing advances on a worker on which something should.
    fn is_still(&mut self, key: HostKey, now: Time) -> bool {
        let host = &self.hosts[key];
        let working = runs(self, host).filter(|run| run.is_working());
        let (still, moving): (Vec<&Run>, Vec<&Run>) = working.partition(|run| run.is_still(now));
        let is_moving = moving.iter().any(|run| run.advanced_at > run.started_at);
        let is_still = !still.is_empty() && !is_moving;
        if is_moving {
            self.hosts[key].stall_micros = STALL_MICROS_MIN;
        }
        is_still
    }

    fn move_runs(&mut self, key: HostKey, is_moved: impl Fn(&Run) -> bool) {
        let host = &self.hosts[key];
        let moved = host
            .runs
            .iter()
            .filter(|key| self.runs.get(**key).is_some_and(&is_moved));
        let moved: Vec<RunKey> = moved.copied().collect();
        for run in moved {
            self.stop(run);
        }
    }
}

impl Run {
    fn is_still(&self, now: Time) -> bool {
        now >= self.advanced_at.plus_micros(STILL_MICROS)
    }
}

fn runs<'a>(scheduler: &'a Scheduler, host: &'a Host) -> impl Iterator<Item = &'a Run> {
    host.runs.iter().filter_map(|key| scheduler.runs.get(*key))
}
