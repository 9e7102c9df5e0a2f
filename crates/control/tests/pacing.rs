//! Paces over a minute of swinging load: what users of sensitive tasks and batch work get.

#[expect(dead_code, reason = "the fixtures are shared with other tests")]
mod graph;

use graph::{at, cores, fresh_orders, listed, listing, runner, start, task};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;
use toucanquay_control::runner::{Action, Listed, Outcome, Runner};
use toucanquay_model::{
    graph::Task,
    session::{InterferenceEffect, Orders, Profile, Start},
};

const TARGET_MS: f64 = 125.0;
const FLOOR_MS: f64 = 25.0;

/// Processors of the worker and of one neighbour, in thousandths.
const CAPACITY_MILLI: f64 = 16_000.0;
const NEIGHBOUR_MILLI: u32 = 1_600;

/// Time between two renewals of the worker's figures.
const PERIOD_MS: u64 = 250;

/// Length of a run and of one swing of the load.
const RUN_MS: u64 = 60_000;
const SWING_MS: f64 = 20_000.0;

/// A worker with one sensitive task and neighbours, of which the real effects are known.
struct World {
    runner: Runner,
    random: StdRng,
    /// Effect and present pace of each neighbour.
    neighbours: Vec<(f64, f64)>,
    /// The average latency that the worker reports.
    average_ms: f64,
}

/// What was seen in a run.
struct Seen {
    /// Share of the time in which the target was missed.
    missed: f64,
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

/// Returns a world whose companion knows nothing of the neighbours' effects.
fn world(seed: u64, effects: &[f64]) -> World {
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
        ..fresh_orders(1, 1, at(0))
    };
    runner.apply(&orders, at(1));
    let mut world = World {
        runner,
        random: StdRng::seed_from_u64(seed),
        neighbours: effects.iter().map(|effect| (*effect, 1.0)).collect(),
        average_ms: FLOOR_MS,
    };
    world.started(task(2, 0, 0));
    for index in 0..effects.len() {
        world.started(neighbour(index));
    }
    world
}

impl World {
    fn started(&mut self, task: Task) {
        let actions = self.runner.started(task, 1, Outcome::Done, at(2));
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            let Action::Pace { task, percent, .. } = action else {
                panic!("a pace: {action:?}");
            };
            self.neighbours[task.index as usize].1 = f64::from(percent) / 100.0;
        }
    }

    /// Returns the latency at a time, with the noise of a rough figure.
    fn latency_ms(&mut self, millis: u64) -> f64 {
        let load = 0.45 + 0.2 * (millis as f64 / SWING_MS * std::f64::consts::TAU).sin();
        let share = f64::from(NEIGHBOUR_MILLI) / CAPACITY_MILLI;
        let slower = self.neighbours.iter().map(|(effect, pace)| effect * pace);
        let factor = 1.0 + slower.sum::<f64>() * share;
        let noise = self.random.random_range(0.95..1.05);
        noise * FLOOR_MS * factor / (1.0 - load * factor).max(0.01)
    }

    fn report(&mut self, millis: u64, latency_ms: f64) {
        self.average_ms = f64::midpoint(self.average_ms, latency_ms);
        let mut list = listing(at(millis));
        list.running.push(Listed {
            gauge: self.average_ms as u32,
            ..listed(task(2, 0, 0), 1)
        });
        for (index, (_, pace)) in self.neighbours.iter().enumerate() {
            list.running.push(Listed {
                gauge: (f64::from(NEIGHBOUR_MILLI) * pace) as u32,
                ..listed(neighbour(index), 1)
            });
        }
        let actions = self.runner.listed(list, at(millis));
        self.carry_out(actions);
    }

    fn play(mut self) -> Seen {
        let periods = RUN_MS / PERIOD_MS;
        let mut missed = 0_u32;
        let mut paces = vec![0.0; self.neighbours.len()];
        for period in 1..=periods {
            let millis = period * PERIOD_MS;
            let latency_ms = self.latency_ms(millis);
            missed += u32::from(latency_ms > TARGET_MS);
            for (sum, (_, pace)) in paces.iter_mut().zip(&self.neighbours) {
                *sum += pace / periods as f64;
            }
            self.report(millis, latency_ms);
        }
        Seen {
            missed: f64::from(missed) / periods as f64,
            paces,
        }
    }
}

/// Guards against users who are served badly beside neighbours, harmless neighbours that are slowed
/// down, and ruinous ones that get nothing where the load leaves room.
///
/// All neighbours at full pace miss the target nearly always; a pace that follows the average
/// latency pauses the harmless one, too.
#[rstest]
fn users_are_served_and_the_room_is_used(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let world = world(seed, &[0.0, 8.0]);

    let seen = world.play();

    println!("missed {:.3}, paces {:.2?}", seen.missed, seen.paces);
    assert!(seen.missed <= 0.05, "missed {:.3}", seen.missed);
    assert!(seen.paces[0] >= 0.9, "harmless {:.2}", seen.paces[0]);
    assert!(seen.paces[1] >= 0.2, "ruinous {:.2}", seen.paces[1]);
}
