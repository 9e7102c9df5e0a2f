//! Events of the load model and their queue.

use std::{cmp::Reverse, collections::BinaryHeap};

use toucanquay_policy::route::Outcome;

/// Simulated event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A client's request arrives at an entry.
    ClientArrival(usize),
    /// A request reaches a worker.
    WorkerArrival(usize),
    /// A worker finishes serving an attempt of a request.
    ServiceEnd { request: usize, attempt: u32 },
    /// The outcome of an attempt reaches the entry.
    Response {
        request: usize,
        attempt: u32,
        outcome: Outcome,
    },
    /// A worker sends its heartbeat.
    HeartbeatSent(usize),
    /// A heartbeat reaches the entries.
    HeartbeatReceived { worker: usize, in_flight: u32 },
    /// The timer of an entry fires.
    Tick(usize),
    /// Batch load on a worker starts or ends.
    BatchNoise { worker: usize, is_on: bool },
    /// Batch load on several workers starts or ends.
    NoiseWave { first_worker: usize, is_on: bool },
    /// The fault of the scenario starts or ends.
    Fault { is_on: bool },
    /// The entries learn that a worker has left or joined.
    MembershipChange { worker: usize, is_member: bool },
}

/// Event queue ordered by time, then by the order of scheduling.
#[derive(Debug, Default)]
pub struct EventQueue {
    order: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Event>,
    free_indices: Vec<usize>,
    next_sequence: u64,
}

impl EventQueue {
    pub fn schedule(&mut self, at: u64, event: Event) {
        let index = self.free_indices.pop().unwrap_or(self.events.len());
        if index == self.events.len() {
            self.events.push(event);
        } else {
            self.events[index] = event;
        }
        self.order.push(Reverse((at, self.next_sequence, index)));
        self.next_sequence += 1;
    }

    pub fn next(&mut self) -> Option<(u64, Event)> {
        let Reverse((at, _, index)) = self.order.pop()?;
        self.free_indices.push(index);
        Some((at, self.events[index]))
    }
}
