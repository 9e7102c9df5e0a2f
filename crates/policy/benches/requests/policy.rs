//! The balancer under test and the baselines, at one entry.

use clap::ValueEnum;
use rand::{RngExt, rngs::StdRng};
use toucanquay_model::Time;
use toucanquay_policy::route::{Balancer, Key, Outcome, State};

use crate::deployment::Deployment;

/// Load-balancing policy of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Policy {
    /// The balancer of this crate.
    Balancer,
    /// Each worker in turn.
    RoundRobin,
    /// A random worker.
    Random,
    /// The worker with the fewest requests of this entry in flight.
    LeastInFlight,
    /// As least-in-flight, with unbounded queues at the workers.
    NoAdmission,
}

impl Policy {
    /// Number of concurrent requests beyond which a companion refuses.
    pub const fn companion_capacity(self) -> usize {
        match self {
            Self::Balancer => Deployment::SLOTS as usize,
            Self::NoAdmission => usize::MAX,
            Self::RoundRobin | Self::Random | Self::LeastInFlight => Deployment::CONNECTIONS,
        }
    }
}

/// Worker selection by a baseline policy.
#[derive(Debug)]
pub struct Baseline {
    policy: Policy,
    turn_count: usize,
    in_flight: Vec<u32>,
    is_member: Vec<bool>,
}

impl Baseline {
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            turn_count: 0,
            in_flight: vec![0; Deployment::WORKER_ZONES.len()],
            is_member: vec![true; Deployment::WORKER_ZONES.len()],
        }
    }

    pub fn pick(&mut self, excluded: Option<usize>, rng: &mut StdRng) -> usize {
        let members: Vec<usize> = (0..self.is_member.len())
            .filter(|&worker| self.is_member[worker] && Some(worker) != excluded)
            .collect();
        let worker = match self.policy {
            Policy::RoundRobin => {
                self.turn_count += 1;
                members[self.turn_count % members.len()]
            }
            Policy::Random | Policy::Balancer => members[rng.random_range(0..members.len())],
            Policy::LeastInFlight | Policy::NoAdmission => members
                .into_iter()
                .min_by_key(|&worker| (self.in_flight[worker], rng.random::<u32>()))
                .expect("there is a member"),
        };
        self.in_flight[worker] += 1;
        worker
    }

    pub fn finish(&mut self, worker: usize) {
        self.in_flight[worker] -= 1;
    }

    pub fn set_member(&mut self, worker: usize, is_member: bool) {
        self.is_member[worker] = is_member;
    }
}

/// Balancer of an entry with the keys of the workers.
#[derive(Debug)]
pub struct BalancedEntry {
    pub balancer: Balancer,
    keys: Vec<Key>,
}

impl BalancedEntry {
    pub fn new(entry: usize) -> Self {
        let mut balancer = Balancer::new(Deployment::ZONES[entry]);
        let keys = Deployment::WORKER_ZONES
            .iter()
            .map(|&zone| {
                let zone = Deployment::ZONES[zone];
                balancer.insert_warm(zone, Deployment::SLOTS, Time::ZERO)
            })
            .collect();
        Self { balancer, keys }
    }

    pub fn worker(&self, key: Key) -> Option<usize> {
        self.keys.iter().position(|&other| other == key)
    }

    pub fn finish(&mut self, key: Key, outcome: Outcome, micros: u64, now: Time) {
        self.balancer.finish(key, outcome, micros, now);
    }

    pub fn receive_heartbeat(&mut self, worker: usize, in_flight: u32, now: Time) {
        let key = self.keys[worker];
        self.balancer.set_state(key, State::Up, now);
        self.balancer.record_report(key, in_flight, now);
    }

    pub fn set_member(&mut self, worker: usize, is_member: bool, now: Time) {
        if is_member {
            let zone = Deployment::ZONES[Deployment::WORKER_ZONES[worker]];
            self.keys[worker] = self.balancer.insert(zone, Deployment::SLOTS, now);
        } else {
            self.balancer.remove(self.keys[worker]);
        }
    }
}
