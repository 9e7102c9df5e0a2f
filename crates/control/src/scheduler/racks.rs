//! Racks that tasks wait for.

use std::collections::BTreeMap;

use smallvec::SmallVec;
use toucanquay_model::{Time, session::Worker};

use super::{key::HostKey, rack_forecast::RackForecast};

/// Time for which a rack counts as wanted after tasks have waited for it, in microseconds.
const WANTED_MICROS: u64 = 500_000;

/// Racks that tasks wait for, and the room that is expected there.
#[derive(Debug, Default)]
pub(super) struct Racks {
    /// Hosts of the racks that were searched in this placement round.
    hosts: BTreeMap<String, SmallVec<[HostKey; 16]>>,
    /// Forecasts of this placement round, by pool and rack.
    forecasts: BTreeMap<(String, String), RackForecast>,
    /// Racks that tasks wait for, and until when other tasks avoid them.
    wanted_until: BTreeMap<String, Time>,
}

impl Racks {
    /// Forgets what was expected in the former placement round.
    pub(super) fn begin_round(&mut self, now: Time) {
        self.hosts.clear();
        self.forecasts.clear();
        self.wanted_until.retain(|_, until| now < *until);
    }

    /// Notes that tasks wait for a rack.
    pub(super) fn want(&mut self, rack: &str, now: Time) {
        let until = now.plus_micros(WANTED_MICROS);
        self.wanted_until.insert(rack.to_owned(), until);
    }

    /// Returns whether tasks wait for the rack of a worker.
    pub(super) fn is_wanted(&self, worker: &Worker) -> bool {
        let mut labels = worker.labels.iter();
        !self.wanted_until.is_empty() && labels.any(|label| self.wanted_until.contains_key(label))
    }

    /// Returns the hosts of a rack, if they were searched in this round.
    pub(super) fn hosts(&self, rack: &str) -> Option<SmallVec<[HostKey; 16]>> {
        self.hosts.get(rack).cloned()
    }

    /// Notes the hosts of a rack.
    pub(super) fn put_hosts(&mut self, rack: &str, hosts: SmallVec<[HostKey; 16]>) {
        self.hosts.insert(rack.to_owned(), hosts);
    }

    /// Takes the forecast of a rack, if there is one of this round.
    pub(super) fn take(&mut self, pool: &str, rack: &str) -> Option<RackForecast> {
        self.forecasts.remove(&(pool.to_owned(), rack.to_owned()))
    }

    /// Puts the forecast of a rack back.
    pub(super) fn put(&mut self, pool: &str, rack: &str, forecast: RackForecast) {
        let key = (pool.to_owned(), rack.to_owned());
        self.forecasts.insert(key, forecast);
    }
}
