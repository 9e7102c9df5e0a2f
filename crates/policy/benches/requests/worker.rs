//! Simulated companion and upstream of a worker.

use std::collections::VecDeque;

use crate::deployment::Deployment;

/// Simulated companion and upstream of a worker: slots, and a queue of requests accepted beyond
/// them.
#[derive(Debug, Default)]
pub struct Worker {
    /// Requests that occupy a slot.
    pub in_service: Vec<usize>,
    /// Accepted requests that wait for a slot.
    pub waiting: VecDeque<usize>,
    /// Factor on service times due to batch load.
    pub noise_factor: f64,
    /// Whether the host is dead.
    pub is_dead: bool,
    /// Whether the worker immediately fails all requests.
    pub is_broken: bool,
}

impl Worker {
    /// Number of accepted requests that are not yet answered.
    pub fn in_flight(&self) -> usize {
        self.in_service.len() + self.waiting.len()
    }

    pub fn has_free_slot(&self) -> bool {
        self.in_service.len() < Deployment::SLOTS as usize
    }

    /// Factor on the service time of a request that starts now.
    pub fn service_factor(&self, contention: f64) -> f64 {
        let share = self.in_service.len() as f64 / f64::from(Deployment::SLOTS);
        self.noise_factor * (1.0 + contention * share * share)
    }
}
