//! Placement of gangs on one rack.

use std::collections::BTreeMap;

use toucanquay_model::{Time, session::Worker};
use toucanquay_policy::locality::{Decision, Reason};

use super::{Scheduler, candidates::Candidates, stage_ref::StageRef};

impl Scheduler {
    /// Returns the hosts for a gang: those of one rack if the whole gang fits there, all hosts if it
    /// is to start anywhere, or `None` if it waits.
    pub(super) fn gang_candidates(&mut self, stage: StageRef<'_>, now: Time) -> Option<Candidates> {
        let step = stage.step;
        let is_bound = step.rack.is_some() || step.prefers_one_rack;
        if !is_bound || !self.weighs_racks(step) || self.has_suspect(stage) {
            return Some(self.candidates(stage, None, now));
        }
        let tasks = step.tasks as usize;
        let racks = match &step.rack {
            Some(rack) => vec![rack.clone()],
            None => self.racks_of_pool(stage),
        };
        let mut fitting = racks.iter();
        if let Some(rack) = fitting.find(|rack| self.has_room_on_rack(stage, rack, now)) {
            self.end_rack_wait(stage, None, now);
            return Some(self.rack_candidates(stage, rack, now));
        }
        let soonest = self.soonest_rack(stage, &racks, now);
        let reason = match soonest {
            Some(rack) => match self.weigh(stage, &rack, tasks, now) {
                Decision::Wait(patience) => {
                    self.wait_for_rack(stage, &rack, patience, now);
                    return None;
                }
                Decision::Far(reason) => reason,
            },
            None => Reason::Lost,
        };
        self.end_rack_wait(stage, Some(reason), now);
        Some(self.spread_candidates(stage, now))
    }

    /// Returns the hosts for a gang that doesn't wait for its rack: those of another one, if it
    /// prefers a single one and fits there.
    fn spread_candidates(&mut self, stage: StageRef<'_>, now: Time) -> Candidates {
        if stage.step.rack.is_some() && stage.step.prefers_one_rack {
            let racks = self.racks_of_pool(stage);
            let mut others = racks.iter();
            if let Some(rack) = others.find(|rack| self.has_room_on_rack(stage, rack, now)) {
                return self.rack_candidates(stage, rack, now);
            }
        }
        self.candidates(stage, None, now)
    }

    /// Returns the racks of the hosts on which tasks of a stage are allowed, the ones with the least
    /// free room first.
    fn racks_of_pool(&self, stage: StageRef<'_>) -> Vec<String> {
        let mut free_milli: BTreeMap<&str, u64> = BTreeMap::new();
        for host in self.hosts.values() {
            let worker = self.allowed_worker(host, stage.pool, stage.step);
            if let Some(rack) = worker.and_then(Worker::rack) {
                *free_milli.entry(rack).or_default() +=
                    u64::from(host.free_resources().processors_milli);
            }
        }
        let mut racks: Vec<(u64, &str)> = free_milli
            .into_iter()
            .map(|(rack, free_milli)| (free_milli, rack))
            .collect();
        racks.sort_unstable();
        racks.into_iter().map(|(_, rack)| rack.to_owned()).collect()
    }

    /// Returns whether all tasks of a stage fit on a rack now.
    fn has_room_on_rack(&mut self, stage: StageRef<'_>, rack: &str, now: Time) -> bool {
        let mut rack_forecast = self.forecast_rack(stage.pool, rack, now);
        let claim = self.claim(stage, &rack_forecast, stage.step.tasks as usize, now);
        let last_at = rack_forecast.forecast.promise(&claim, now, now);
        last_at.is_some()
    }

    /// Returns the rack that is expected to have room for all tasks of a stage first; if none is,
    /// the first one that accepts them.
    fn soonest_rack(&mut self, stage: StageRef<'_>, racks: &[String], now: Time) -> Option<String> {
        let tasks = stage.step.tasks as usize;
        let mut soonest: Option<(Time, &String)> = None;
        for rack in racks {
            let mut rack_forecast = self.take_forecast(stage.pool, rack, now);
            let claim = self.claim(stage, &rack_forecast, tasks, now);
            let is_accepted = claim.places.iter().any(|places| *places > 0);
            let before = rack_forecast.forecast.clone();
            let last_at = rack_forecast.forecast.promise(&claim, now, Time::NEVER);
            rack_forecast.forecast = before;
            self.racks.put(stage.pool, rack, rack_forecast);
            let last_at = last_at.unwrap_or(Time::NEVER);
            if is_accepted && soonest.is_none_or(|(at, _)| last_at < at) {
                soonest = Some((last_at, rack));
            }
        }
        soonest.map(|(_, rack)| rack.clone())
    }
}
