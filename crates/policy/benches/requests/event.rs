//! Events of the load model.

use std::{cmp::Reverse, collections::BinaryHeap};

use toucanquay_policy::route::Outcome;

/// Something that happens at one time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A client's request arrives at an entry.
    Arrive(usize),
    /// A request reaches a worker.
    Reach(usize),
    /// A slot finishes the given attempt at a request.
    Serve { request: usize, attempt: u32 },
    /// The end of an attempt reaches the entry.
    Return {
        request: usize,
        attempt: u32,
        outcome: Outcome,
    },
    /// A worker sends its heartbeat.
    Beat(usize),
    /// A heartbeat reaches the entries.
    Report { worker: usize, in_flight: u32 },
    /// An entry's timer.
    Tick(usize),
    /// Batch work on a worker starts or ends.
    Noise { worker: usize, is_on: bool },
    /// A wave of noise starts or ends.
    Wave { first: usize, is_on: bool },
    /// The fault of the scenario starts or ends.
    Fault { is_on: bool },
    /// The entries learn that a worker is gone or new.
    Known { worker: usize, is_known: bool },
}

/// Events in order of time, then of scheduling.
#[derive(Debug, Default)]
pub struct Agenda {
    heap: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Event>,
    free: Vec<usize>,
    scheduled: u64,
}

impl Agenda {
    pub fn schedule(&mut self, at: u64, event: Event) {
        let index = self.free.pop().unwrap_or(self.events.len());
        if index == self.events.len() {
            self.events.push(event);
        } else {
            self.events[index] = event;
        }
        self.heap.push(Reverse((at, self.scheduled, index)));
        self.scheduled += 1;
    }

    pub fn next(&mut self) -> Option<(u64, Event)> {
        let Reverse((at, _, index)) = self.heap.pop()?;
        self.free.push(index);
        Some((at, self.events[index]))
    }
}
