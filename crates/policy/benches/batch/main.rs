//! Seeded benchmark of batch order, placement and the interference model.
//!
//! A minimal load model drives the decision code and several baselines. `docs/batch.md` and
//! `docs/interference.md` describe the load model, the columns and the results.

mod deployment;
mod fifo;
mod host;
mod kind;
mod lookups;
mod measurements;
mod policy;
mod random;
mod run;
mod scenario;
mod scheduler;
mod simulation;
mod table;
mod task;
mod usage_report;

use std::path::PathBuf;

use clap::Parser;

use deployment::Deployment;
use measurements::Measurements;
use policy::Policy;
use scenario::Scenario;
use simulation::Simulation;

/// Benchmark of batch order, placement and the interference model.
#[derive(Debug, Parser)]
struct Options {
    /// Seed of the first run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of runs with consecutive seeds to merge into each row.
    #[arg(long, default_value_t = 3)]
    runs: u64,
    /// Deployments to run; all by default.
    #[arg(long, value_enum)]
    deployment: Vec<Deployment>,
    /// Scenarios to run; all by default.
    #[arg(long, value_enum)]
    scenario: Vec<Scenario>,
    /// Policies to run; all by default.
    #[arg(long, value_enum)]
    policy: Vec<Policy>,
    /// Simulated seconds per run, after a warm-up of 300 s.
    #[arg(long, default_value_t = 1_800)]
    seconds: u64,
    /// File to write the rows to as CSV.
    #[arg(long)]
    csv: Option<PathBuf>,
    /// Accepted because `cargo bench` passes it; has no effect.
    #[arg(long, hide = true)]
    bench: bool,
}

/// Combination of parameters measured in one row.
type Case = (Deployment, Scenario, Policy);

fn main() -> std::io::Result<()> {
    let options = Options::parse();
    let cases = cases(&options);
    let results = run(&cases, &options);
    let rows: Vec<(Case, Measurements)> = cases.into_iter().zip(results).collect();
    println!(
        "seed {} runs {} seconds {}",
        options.seed, options.runs, options.seconds
    );
    println!("{}", table::aligned(&rows));
    if let Some(path) = options.csv {
        std::fs::write(path, table::csv(&rows))?;
    }
    Ok(())
}

fn cases(options: &Options) -> Vec<Case> {
    let mut cases = Vec::new();
    for deployment in selected_or_all(&options.deployment) {
        for scenario in selected_or_all(&options.scenario) {
            for policy in selected_or_all(&options.policy) {
                cases.push((deployment, scenario, policy));
            }
        }
    }
    cases
}

/// Returns the selected values, or all values if none are selected.
fn selected_or_all<T: clap::ValueEnum + Copy>(selected: &[T]) -> Vec<T> {
    if selected.is_empty() {
        return T::value_variants().to_vec();
    }
    selected.to_vec()
}

/// Measures all cases in parallel. Each of the n threads measures every n-th case.
fn run(cases: &[Case], options: &Options) -> Vec<Measurements> {
    let threads = std::thread::available_parallelism().map_or(1, |count| count.get().min(6));
    let mut results: Vec<(usize, Measurements)> = std::thread::scope(|scope| {
        let work = |thread| {
            let indexes = (thread..cases.len()).step_by(threads);
            let measured = indexes.map(|index| (index, measure(cases[index], options)));
            measured.collect::<Vec<_>>()
        };
        let handles: Vec<_> = (0..threads)
            .map(|thread| scope.spawn(move || work(thread)))
            .collect();
        let join = |handle: std::thread::ScopedJoinHandle<'_, _>| {
            handle.join().expect("benchmark thread panicked")
        };
        handles.into_iter().flat_map(join).collect()
    });
    results.sort_by_key(|(index, _)| *index);
    results
        .into_iter()
        .map(|(_, measurements)| measurements)
        .collect()
}

fn measure((deployment, scenario, policy): Case, options: &Options) -> Measurements {
    let mut merged = Measurements::new();
    for seed in options.seed..options.seed + options.runs {
        let simulation = Simulation::new(deployment, scenario, policy, seed);
        merged.merge(&simulation.run(options.seconds));
    }
    merged
}
