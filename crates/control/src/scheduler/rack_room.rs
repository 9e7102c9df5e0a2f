//! Room that is expected on a rack.

use smallvec::SmallVec;
use toucanquay_model::Time;
use toucanquay_policy::locality::{Claim, Forecast, Room};

use super::{Host, Run, Scheduler, key::HostKey, rack_forecast::RackForecast, stage_ref::StageRef};

/// Time from the end of an attempt to a start in its place, in microseconds.
const HANDOVER_MICROS: u64 = 50_000;

/// Time after which an attempt that is being stopped has usually ended, in microseconds.
const STOP_MICROS: u64 = 200_000;

/// An attempt that has run for longer than expected is taken to end after this part of its run time.
const OVERDUE_DIVISOR: u64 = 8;

impl Scheduler {
    /// Returns the hosts of a rack. They are searched once in a placement round.
    pub(super) fn rack_hosts(&mut self, rack: &str) -> SmallVec<[HostKey; 16]> {
        if let Some(hosts) = self.racks.hosts(rack) {
            return hosts;
        }
        let hosts = self.hosts.iter();
        let hosts = hosts.filter(|(_, host)| is_on_rack(host, rack));
        let hosts: SmallVec<[HostKey; 16]> = hosts.map(|(key, _)| key).collect();
        self.racks.put_hosts(rack, hosts.clone());
        hosts
    }

    /// Returns the claim of a stage's tasks to the rooms of a rack.
    pub(super) fn claim(
        &self,
        stage: StageRef<'_>,
        rack_forecast: &RackForecast,
        tasks: usize,
        now: Time,
    ) -> Claim {
        let places = |key: HostKey| {
            let host = &self.hosts[key];
            let is_usable = !self.probes.contains_key(&key)
                && !self.is_kept_from(key, stage)
                && !is_avoided(host, now)
                && self.allowed_worker(host, stage.pool, stage.step).is_some();
            if is_usable {
                tasks.min(self.places_left(key, stage))
            } else {
                0
            }
        };
        Claim {
            tasks,
            demand: stage.step.occupied(),
            run_micros: stage.step.estimate_ms.saturating_mul(1_000),
            places: rack_forecast
                .hosts
                .iter()
                .map(|(key, _)| places(*key))
                .collect(),
        }
    }

    /// Takes the forecast of a rack, with the starts of this round.
    pub(super) fn take_forecast(&mut self, pool: &str, rack: &str, now: Time) -> RackForecast {
        match self.racks.take(pool, rack) {
            Some(mut rack_forecast) => {
                rack_forecast.correct(|key| self.hosts[key].free_resources());
                rack_forecast
            }
            None => self.forecast_rack(pool, rack, now),
        }
    }

    pub(super) fn forecast_rack(&mut self, pool: &str, rack: &str, now: Time) -> RackForecast {
        let mut hosts = self.rack_hosts(rack);
        hosts.retain(|key| self.hosts[*key].is_in_pool(pool));
        let room = |key: &HostKey| {
            let host = &self.hosts[*key];
            let runs = host.runs.iter().filter_map(|run| self.runs.get(*run));
            let ends = runs.filter_map(|run| Some((self.expected_end(run, now)?, run.occupied)));
            Room::new(host.free_resources(), ends)
        };
        RackForecast {
            forecast: Forecast::new(hosts.iter().map(room)),
            hosts: hosts
                .iter()
                .map(|key| (*key, self.hosts[*key].free_resources()))
                .collect(),
        }
    }

    /// Returns when an attempt is expected to have made room, or `None` if it lasts.
    fn expected_end(&self, run: &Run, now: Time) -> Option<Time> {
        if run.is_stopping {
            return Some(now.plus_micros(STOP_MICROS));
        }
        let step = self.jobs.get(run.job)?.step(run.place)?;
        if step.is_perpetual {
            return None;
        }
        let host = &self.hosts[run.host];
        let is_far = step
            .rack
            .as_ref()
            .is_some_and(|rack| !is_on_rack(host, rack));
        let far_percent = if is_far {
            self.settings.far_percent
        } else {
            100
        };
        let run_micros = step
            .estimate_ms
            .saturating_mul(10)
            .saturating_mul(u64::from(far_percent));
        let end_at = run.progress_at.plus_micros(run.left_micros(run_micros));
        let end_at = if end_at > now {
            end_at
        } else {
            now.plus_micros(run_micros / OVERDUE_DIVISOR)
        };
        Some(end_at.plus_micros(HANDOVER_MICROS))
    }
}

/// Returns whether the worker of a host is on a rack.
pub(super) fn is_on_rack(host: &Host, rack: &str) -> bool {
    let worker = host.worker.as_ref();
    worker.is_some_and(|worker| worker.labels.iter().any(|label| label == rack))
}

/// Returns whether tasks avoid a host, because many failed there or its agent rejected one.
pub(super) fn is_avoided(host: &Host, now: Time) -> bool {
    now < host.avoid_until.max(host.rejected_until)
}
