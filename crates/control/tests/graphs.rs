//! Randomised runs of the scheduler and the runners with all faults at once.
//!
//! `TOUCANQUAY_GRAPH_SEED` replays one seed; `TOUCANQUAY_GRAPH_RUNS` sets the number of seeds.

#[expect(dead_code, reason = "the fixtures are shared with other tests")]
mod graph;

use std::env;

use graph::simulation::Simulation;
use rstest::rstest;

/// Seeds of the short set.
const RUNS: u64 = 40;

/// Time with faults, in milliseconds.
const FAULTS_MS: u64 = 20_000;

fn env_number(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}

fn simulate(seed: u64) -> Simulation {
    println!("TOUCANQUAY_GRAPH_SEED={seed}");
    let mut simulation = Simulation::new(seed, 3 + seed % 4);
    simulation.run(FAULTS_MS);
    simulation
}

/// Guards against tasks that run twice, overfilled workers, steps out of order, and jobs that are
/// lost or shown as done too early, while owners, companions and workers die, pause and are cut
/// off, and orders are carried out late.
#[test]
fn invariants_hold_under_faults() {
    let first = env_number("TOUCANQUAY_GRAPH_SEED");
    let seeds = match first {
        Some(seed) => seed..seed + 1,
        None => 0..env_number("TOUCANQUAY_GRAPH_RUNS").unwrap_or(RUNS),
    };

    let simulations: Vec<Simulation> = seeds.map(simulate).collect();

    let faults: u64 = simulations.iter().map(|simulation| simulation.faults).sum();
    let starts: u64 = simulations.iter().map(|simulation| simulation.starts).sum();
    println!("{faults} faults, {starts} starts");
    assert!(faults > 0 && starts > faults, "the runs must do something");
}

/// Guards against the return of faults that a seed has shown: a start that reached another life of
/// its worker (0), and starts of a former process that were given up (16).
#[rstest]
fn regression(#[values(0, 16)] seed: u64) {
    simulate(seed);
}
