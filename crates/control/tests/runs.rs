//! Randomized simulation of owners, companions, task runtimes and a store, with all faults at once.
//!
//! `docs/testing.md` lists the commands for longer runs and for replaying a seed.

mod sim;

use std::{cell::RefCell, env};

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use sim::{FaultCounts, RunParameters, Simulation};

/// Number of runs when `TOUCANQUAY_CASES` is not set.
const DEFAULT_CASES: u32 = 24;

/// Returns the environment variable `name` as a number, or `None` if it is unset or malformed.
fn env_number(name: &str) -> Option<u64> {
    env::var(name).ok().and_then(|text| text.parse().ok())
}

/// Runs one simulation and returns its fault counts, with the number of simulated steps.
fn run_simulation(parameters: RunParameters) -> FaultCounts {
    eprintln!(
        "run: TOUCANQUAY_SEED={} TOUCANQUAY_HOSTS={} TOUCANQUAY_SECONDS={}",
        parameters.seed, parameters.hosts, parameters.seconds
    );
    let mut simulation = Simulation::new(parameters);
    simulation.run(parameters);
    let mut counts = simulation.counts.clone();
    counts.0.insert("steps", simulation.steps);
    counts
}

/// Guards against duplicate execution of a task, overcommitted workers, lost or repeated work, and
/// acknowledged effects that are lost, while all faults are injected in the same run.
#[test]
fn invariants_hold_under_faults() {
    if let Some(seed) = env_number("TOUCANQUAY_SEED") {
        let parameters = RunParameters {
            seed,
            hosts: env_number("TOUCANQUAY_HOSTS").unwrap_or(4) as usize,
            seconds: env_number("TOUCANQUAY_SECONDS").unwrap_or(120),
        };
        println!("{:#?}", run_simulation(parameters).0);
        return;
    }
    let cases = env_number("TOUCANQUAY_CASES").map_or(DEFAULT_CASES, |cases| cases as u32);
    let seconds_max = env_number("TOUCANQUAY_SECONDS").unwrap_or(300);
    let base = env_number("TOUCANQUAY_BASE").unwrap_or(0);
    let mut bytes = [7; 32];
    bytes[..8].copy_from_slice(&base.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 40,
        ..Config::default()
    };
    let strategy = (any::<u64>(), 2..6_usize, 60..=seconds_max);
    let total = RefCell::new(FaultCounts::default());

    let result = TestRunner::new_with_rng(config, rng).run(&strategy, |(seed, hosts, seconds)| {
        let parameters = RunParameters {
            seed,
            hosts,
            seconds,
        };
        total.borrow_mut().merge(&run_simulation(parameters));
        Ok(())
    });

    if let Err(error) = result {
        panic!(
            "a run failed; seed, hosts and seconds of the smallest failing one are below\n{error}"
        );
    }
    let total = total.into_inner();
    println!("{:#?}", total.0);
    assert_eq!(
        total.missing_faults(),
        Vec::<&str>::new(),
        "required faults that no run exercised"
    );
}
