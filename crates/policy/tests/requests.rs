//! Property test of the balancer with random sequences of events.

use std::collections::{HashMap, HashSet};

use proptest::prelude::*;
use toucanquay_model::Time;
use toucanquay_policy::route::{Balancer, Decision, Key, Outcome, Release, Request, State};

/// Event at an entry.
#[derive(Debug, Clone, Copy)]
enum Step {
    Admit { millis: u64, random: u64 },
    Finish { index: usize, outcome: Outcome },
    Cancel { index: usize },
    Report { index: usize, in_flight: u32 },
    State { index: usize, state: State },
    Remove { index: usize },
    Insert { slots: u32, is_warm: bool },
    Wait { micros: u64 },
}

fn outcomes() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        4 => Just(Outcome::Succeeded),
        1 => Just(Outcome::Failed),
        1 => Just(Outcome::Refused),
        1 => Just(Outcome::Unreachable),
        1 => Just(Outcome::Cancelled),
    ]
}

fn states() -> impl Strategy<Value = State> {
    prop_oneof![
        2 => Just(State::Up),
        1 => Just(State::Draining),
        1 => Just(State::Unhealthy),
    ]
}

fn steps() -> impl Strategy<Value = Step> {
    let index = any::<usize>();
    prop_oneof![
        8 => (0_u64..300, any::<u64>()).prop_map(|(millis, random)| Step::Admit { millis, random }),
        6 => (index, outcomes()).prop_map(|(index, outcome)| Step::Finish { index, outcome }),
        1 => index.prop_map(|index| Step::Cancel { index }),
        1 => (index, 0_u32..9).prop_map(|(index, in_flight)| Step::Report { index, in_flight }),
        1 => (index, states()).prop_map(|(index, state)| Step::State { index, state }),
        1 => index.prop_map(|index| Step::Remove { index }),
        1 => (1_u32..9, any::<bool>()).prop_map(|(slots, is_warm)| Step::Insert { slots, is_warm }),
        3 => (1_u64..50_000).prop_map(|micros| Step::Wait { micros }),
    ]
}

/// The balancer under test and the state that its caller and the upstreams expect.
#[derive(Debug)]
struct Harness {
    balancer: Balancer,
    now: Time,
    slots: HashMap<Key, u32>,
    unavailable: HashSet<Key>,
    in_flight: Vec<Key>,
    waiting: HashMap<toucanquay_policy::route::Ticket, Time>,
}

impl Harness {
    fn new() -> Self {
        Self {
            balancer: Balancer::new("a"),
            now: Time::from_millis(100_000),
            slots: HashMap::new(),
            unavailable: HashSet::new(),
            in_flight: Vec::new(),
            waiting: HashMap::new(),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Admit { millis, random } => self.admit(millis, random),
            Step::Finish { index, outcome } if !self.in_flight.is_empty() => {
                let key = self.in_flight.swap_remove(index % self.in_flight.len());
                self.balancer.finish(key, outcome, 5_000, self.now);
            }
            Step::Cancel { index } => {
                let ticket = self.waiting.keys().nth(index % self.waiting.len().max(1));
                if let Some(ticket) = ticket.copied() {
                    self.waiting.remove(&ticket);
                    assert!(self.balancer.cancel(ticket));
                }
            }
            Step::Insert { slots, is_warm } => {
                let zone = if is_warm { "a" } else { "b" };
                let key = if is_warm {
                    self.balancer.insert_warm(zone, slots, self.now)
                } else {
                    self.balancer.insert(zone, slots, self.now)
                };
                self.slots.insert(key, slots);
            }
            Step::Wait { micros } => self.now = self.now.plus_micros(micros),
            other => self.change_upstream(other),
        }
        self.tick();
    }

    fn change_upstream(&mut self, step: Step) {
        let (Step::Report { index, .. } | Step::State { index, .. } | Step::Remove { index }) =
            step
        else {
            return;
        };
        let Some(key) = self
            .slots
            .keys()
            .nth(index % self.slots.len().max(1))
            .copied()
        else {
            return;
        };
        match step {
            Step::Report { in_flight, .. } => self.balancer.record_report(key, in_flight, self.now),
            Step::State { state, .. } => {
                self.balancer.set_state(key, state, self.now);
                self.unavailable.remove(&key);
                if state != State::Up {
                    self.unavailable.insert(key);
                }
            }
            _ => {
                self.balancer.remove(key);
                self.slots.remove(&key);
            }
        }
    }

    fn admit(&mut self, millis: u64, random: u64) {
        let deadline = self.now.plus_millis(millis);
        match self
            .balancer
            .admit(&Request::new(deadline), self.now, random)
        {
            Decision::Send(key) => self.record_sent(key, deadline),
            Decision::Wait(ticket) => assert!(self.waiting.insert(ticket, deadline).is_none()),
            Decision::Shed(shed) => assert!(shed.retry_after_micros > 0),
        }
    }

    fn tick(&mut self) {
        for release in self.balancer.tick(self.now, 1) {
            match release {
                Release::Send(ticket, key) => {
                    let deadline = self.waiting.remove(&ticket).expect("the ticket is waiting");
                    self.record_sent(key, deadline);
                }
                Release::Shed(ticket, _) => {
                    self.waiting.remove(&ticket).expect("the ticket is waiting");
                }
            }
        }
        assert_eq!(self.balancer.queue().len(), self.waiting.len());
        let overdue = |deadline: &Time| *deadline <= self.now;
        assert!(
            !self.waiting.values().any(overdue),
            "kept past its deadline"
        );
        assert!(self.balancer.next_tick().is_none_or(|at| at > self.now));
    }

    fn record_sent(&mut self, key: Key, deadline: Time) {
        self.in_flight.push(key);
        let own = self.in_flight.iter().filter(|&&other| other == key).count();
        let upstream = self
            .balancer
            .router()
            .get(key)
            .expect("the upstream exists");
        assert!(deadline > self.now, "sent past its deadline");
        assert!(
            own <= self.slots[&key] as usize,
            "more in flight than slots"
        );
        assert!(
            own <= upstream.limit().current() as usize,
            "more in flight than the limit"
        );
        assert!(
            !self.unavailable.contains(&key),
            "sent to a draining or unhealthy upstream"
        );
    }
}

/// Guards against more requests in flight than slots or the limit allow, requests to an upstream
/// that is draining, unhealthy or removed, requests sent or kept after their deadline, tickets that
/// are lost or released twice, and timers in the past.
#[test]
fn random_runs_keep_the_invariants() {
    proptest!(|(steps in prop::collection::vec(steps(), 1..400))| {
        let mut harness = Harness::new();
        for slots in [8, 4, 1] {
            harness.step(Step::Insert { slots, is_warm: true });
        }
        for step in steps {
            harness.step(step);
        }
    });
}
