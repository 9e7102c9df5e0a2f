//! Closed-loop test of pacing: latency of a sensitive task and paces of its neighbours over a
//! minute of oscillating load.

#[expect(dead_code, reason = "the fixtures are shared with other tests")]
mod graph;

use graph::{at, cores, empty_list, empty_orders, listed, runner, start, task};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;
use toucanquay_control::runner::{Action, CallOutcome, ListedAttempt, Runner};
use toucanquay_model::{
    Time,
    graph::Task,
    session::{InterferenceEffect, Orders, Profile, Start},
};

const TARGET_MS: f64 = 125.0;
const FLOOR_MS: f64 = 25.0;

/// Processors of the worker and of one neighbour, in thousandths.
const CAPACITY_MILLI: f64 = 16_000.0;
const NEIGHBOUR_MILLI: u32 = 1_600;

/// Interval at which the worker renews its gauges.
const RENEWAL_MS: u64 = 250;

/// Length of a run, and period of the load's oscillation.
const RUN_MS: u64 = 60_000;
const LOAD_PERIOD_MS: f64 = 20_000.0;

/// A simulated worker with one sensitive task and neighbours whose real effects are known.
struct Simulation {
    runner: Runner,
    rng: StdRng,
    /// Real effect and current pace of each neighbour.
    neighbours: Vec<(f64, f64)>,
    /// Moving average of the latency that the worker reports.
    average_ms: f64,
}

/// Measurements of a run.
struct Measured {
    /// Fraction of the time in which the target was missed.
    missed_fraction: f64,
    /// Mean pace of each neighbour.
    paces: Vec<f64>,
}

const fn neighbour(index: usize) -> Task {
    task(1, 0, index as u32)
}

fn sensitive_start() -> Start {
    Start {
        profile: Profile {
            latency_target_ms: Some(TARGET_MS as u32),
            latency_floor_ms: FLOOR_MS as u32,
            image: 0,
            occupied: cores(2),
            ..Profile::default()
        },
        ..start(task(2, 0, 0), 1)
    }
}

fn idle_start(index: usize) -> Start {
    Start {
        profile: Profile {
            idle_milli: NEIGHBOUR_MILLI,
            image: 1 + index as u32,
            uses_idle: true,
            ..Profile::default()
        },
        ..start(neighbour(index), 1)
    }
}

/// Returns a simulation whose runner has no estimates of the neighbours' effects but the prior.
fn simulation(seed: u64, effects: &[f64]) -> Simulation {
    let mut runner = runner(1);
    let mut starts = vec![sensitive_start()];
    starts.extend((0..effects.len()).map(idle_start));
    let unknown = |other| InterferenceEffect {
        sensitive: 0,
        other,
        percent: 200,
        deviation_percent: 200,
    };
    let orders = Orders {
        starts,
        effects: (1..=effects.len() as u32).map(unknown).collect(),
        ..empty_orders(1, 1, at(0))
    };
    runner.apply_orders(&orders, at(1));
    let mut simulation = Simulation {
        runner,
        rng: StdRng::seed_from_u64(seed),
        neighbours: effects.iter().map(|effect| (*effect, 1.0)).collect(),
        average_ms: FLOOR_MS,
    };
    simulation.confirm_start(task(2, 0, 0));
    for index in 0..effects.len() {
        simulation.confirm_start(neighbour(index));
    }
    simulation
}

impl Simulation {
    fn confirm_start(&mut self, task: Task) {
        let actions = self
            .runner
            .record_start_outcome(task, 1, CallOutcome::Done, at(2));
        self.apply_paces(actions, at(2));
    }

    fn apply_paces(&mut self, actions: Vec<Action>, now: Time) {
        for action in actions {
            let Action::Pace { task, percent, .. } = action else {
                panic!("expected a pace, got {action:?}");
            };
            self.neighbours[task.index as usize].1 = f64::from(percent) / 100.0;
            self.runner
                .record_pace_outcome(task, 1, CallOutcome::Done, now);
        }
    }

    /// Returns the latency at a time, with measurement noise.
    fn latency_ms(&mut self, millis: u64) -> f64 {
        let load = 0.45 + 0.2 * (millis as f64 / LOAD_PERIOD_MS * std::f64::consts::TAU).sin();
        let share = f64::from(NEIGHBOUR_MILLI) / CAPACITY_MILLI;
        let added_slowdowns = self.neighbours.iter().map(|(effect, pace)| effect * pace);
        let slowdown = 1.0 + added_slowdowns.sum::<f64>() * share;
        let noise = self.rng.random_range(0.95..1.05);
        noise * FLOOR_MS * slowdown / (1.0 - load * slowdown).max(0.01)
    }

    fn report(&mut self, millis: u64, latency_ms: f64) {
        self.average_ms = f64::midpoint(self.average_ms, latency_ms);
        let mut list = empty_list(at(millis));
        list.running.push(ListedAttempt {
            gauge: self.average_ms as u32,
            ..listed(task(2, 0, 0), 1)
        });
        for (index, (_, pace)) in self.neighbours.iter().enumerate() {
            list.running.push(ListedAttempt {
                gauge: (f64::from(NEIGHBOUR_MILLI) * pace) as u32,
                ..listed(neighbour(index), 1)
            });
        }
        let actions = self.runner.apply_list(list, at(millis));
        self.apply_paces(actions, at(millis));
    }

    fn run(mut self) -> Measured {
        let renewals = RUN_MS / RENEWAL_MS;
        let mut missed = 0_u32;
        let mut paces = vec![0.0; self.neighbours.len()];
        for renewal in 1..=renewals {
            let millis = renewal * RENEWAL_MS;
            let latency_ms = self.latency_ms(millis);
            missed += u32::from(latency_ms > TARGET_MS);
            for (sum, (_, pace)) in paces.iter_mut().zip(&self.neighbours) {
                *sum += pace / renewals as f64;
            }
            self.report(millis, latency_ms);
        }
        Measured {
            missed_fraction: f64::from(missed) / renewals as f64,
            paces,
        }
    }
}

/// Guards against missing the latency target because of neighbours, against slowing down a harmless
/// neighbour, and against pausing a noisy one while the load leaves headroom.
///
/// With all neighbours at full pace the target is missed nearly always. Pacing by the average
/// latency pauses the harmless neighbour, too.
#[rstest]
fn users_are_served_and_the_room_is_used(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let simulation = simulation(seed, &[0.0, 8.0]);

    let measured = simulation.run();

    println!(
        "target missed for {:.3} of the time, mean paces {:.2?}",
        measured.missed_fraction, measured.paces
    );
    assert!(
        measured.missed_fraction <= 0.05,
        "target missed for {:.3} of the time",
        measured.missed_fraction
    );
    assert!(
        measured.paces[0] >= 0.9,
        "mean pace of the harmless neighbour: {:.2}",
        measured.paces[0]
    );
    assert!(
        measured.paces[1] >= 0.2,
        "mean pace of the noisy neighbour: {:.2}",
        measured.paces[1]
    );
}
