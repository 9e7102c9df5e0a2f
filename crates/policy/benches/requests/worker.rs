//! A worker's companion and upstream.

use std::collections::VecDeque;

use crate::deployment::Deployment;

/// A worker's companion and upstream: slots, and a queue for what is accepted beyond them.
#[derive(Debug, Default)]
pub struct Worker {
    /// Requests in the slots.
    pub in_service: Vec<usize>,
    /// Accepted requests that wait for a slot.
    pub waiting: VecDeque<usize>,
    /// Factor on service times through batch work.
    pub noise_factor: f64,
    /// Whether the host is dead.
    pub is_dead: bool,
    /// Whether it fails everything at once.
    pub is_broken: bool,
}

impl Worker {
    /// Requests accepted and not answered yet.
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
