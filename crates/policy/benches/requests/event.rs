//! Events of the load model.

use std::{cmp::Reverse, collections::BinaryHeap};

use toucanquay_policy::route::Outcome;

/// Something that happens at one time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A client's request arrives at an entry.
    ClientArrival(usize),
    /// A request reaches a worker.
    WorkerArrival(usize),
    /// A slot finishes the given attempt at a request.
    ServiceEnd { request: usize, attempt: u32 },
    /// The end of an attempt reaches the entry.
    Response {
        request: usize,
        attempt: u32,
        outcome: Outcome,
    },
    /// A worker sends its heartbeat.
    HeartbeatSent(usize),
    /// A heartbeat reaches the entries.
    HeartbeatReceived { worker: usize, in_flight: u32 },
    /// An entry's timer.
    Tick(usize),
    /// Batch work on a worker starts or ends.
    BatchNoise { worker: usize, is_on: bool },
    /// A wave of noise starts or ends.
    NoiseWave { first_worker: usize, is_on: bool },
    /// The fault of the scenario starts or ends.
    Fault { is_on: bool },
    /// The entries learn that a worker is gone or new.
    MembershipChange { worker: usize, is_member: bool },
}

/// Events in order of time, then of scheduling.
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
