//! The decision code under test and the baselines, at one entry.

use clap::ValueEnum;
use rand::{RngExt, rngs::StdRng};
use toucanquay_model::Time;
use toucanquay_policy::route::{Balancer, Key, Outcome, State};

use crate::deployment::Deployment;

/// How an entry decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Policy {
    /// The code of this crate.
    Balancer,
    /// Each worker in turn.
    RoundRobin,
    /// A random worker.
    Random,
    /// The worker with the fewest requests of this entry in flight.
    LeastInFlight,
    /// The same, and workers queue without bound.
    NoAdmission,
}

impl Policy {
    /// Requests that a companion takes at once; further ones are refused.
    pub const fn accepted(self) -> usize {
        match self {
            Self::Balancer => Deployment::SLOTS as usize,
            Self::NoAdmission => usize::MAX,
            Self::RoundRobin | Self::Random | Self::LeastInFlight => Deployment::CONNECTIONS,
        }
    }
}

/// Choice of a worker by a baseline.
#[derive(Debug)]
pub struct Baseline {
    policy: Policy,
    turn: usize,
    in_flight: Vec<u32>,
    is_known: Vec<bool>,
}

impl Baseline {
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            turn: 0,
            in_flight: vec![0; Deployment::WORKERS.len()],
            is_known: vec![true; Deployment::WORKERS.len()],
        }
    }

    pub fn pick(&mut self, excluded: Option<usize>, random: &mut StdRng) -> usize {
        let known: Vec<usize> = (0..self.is_known.len())
            .filter(|&worker| self.is_known[worker] && Some(worker) != excluded)
            .collect();
        let worker = match self.policy {
            Policy::RoundRobin => {
                self.turn += 1;
                known[self.turn % known.len()]
            }
            Policy::Random | Policy::Balancer => known[random.random_range(0..known.len())],
            Policy::LeastInFlight | Policy::NoAdmission => known
                .into_iter()
                .min_by_key(|&worker| (self.in_flight[worker], random.random::<u32>()))
                .expect("a worker is known"),
        };
        self.in_flight[worker] += 1;
        worker
    }

    pub fn finish(&mut self, worker: usize) {
        self.in_flight[worker] -= 1;
    }

    pub fn set_known(&mut self, worker: usize, is_known: bool) {
        self.is_known[worker] = is_known;
    }
}

/// The balancer with the keys of the workers.
#[derive(Debug)]
pub struct Balanced {
    pub balancer: Balancer,
    keys: Vec<Key>,
}

impl Balanced {
    pub fn new(entry: usize) -> Self {
        let mut balancer = Balancer::new(Deployment::ZONES[entry]);
        let keys = Deployment::WORKERS
            .iter()
            .map(|&zone| {
                let zone = Deployment::ZONES[zone];
                balancer.insert_warm(zone, Deployment::SLOTS, Time::ZERO)
            })
            .collect();
        Self { balancer, keys }
    }

    pub fn worker(&self, key: Key) -> Option<usize> {
        self.keys.iter().position(|&known| known == key)
    }

    pub fn finish(&mut self, key: Key, outcome: Outcome, micros: u64, now: Time) {
        self.balancer.finish(key, outcome, micros, now);
    }

    pub fn report(&mut self, worker: usize, in_flight: u32, now: Time) {
        let key = self.keys[worker];
        self.balancer.set_state(key, State::Up, now);
        self.balancer.record_report(key, in_flight, now);
    }

    pub fn set_known(&mut self, worker: usize, is_known: bool, now: Time) {
        if is_known {
            let zone = Deployment::ZONES[Deployment::WORKERS[worker]];
            self.keys[worker] = self.balancer.insert(zone, Deployment::SLOTS, now);
        } else {
            self.balancer.remove(self.keys[worker]);
        }
    }
}
