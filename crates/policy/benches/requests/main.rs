//! Seeded benchmark of request routing: the decision code and baselines under a minimal load model.

mod deployment;
mod draw;
mod event;
mod model;
mod policy;
mod request;
mod scenario;
mod table;
mod tally;
mod worker;

use std::{fs::File, path::PathBuf, process::ExitCode};

use clap::{Parser, ValueEnum};

use deployment::Deployment;
use model::Model;
use policy::Policy;
use scenario::Scenario;
use table::Row;

/// Runs each policy through each scenario and prints a table of the window of the peak or fault.
#[derive(Debug, Parser)]
struct Args {
    /// Seed of all random figures.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Deployments to run; all when none is given.
    #[arg(long, value_delimiter = ',')]
    deployment: Vec<Deployment>,
    /// Scenarios to run; all when none is given.
    #[arg(long, value_delimiter = ',')]
    scenario: Vec<Scenario>,
    /// Policies to run; all when none is given.
    #[arg(long, value_delimiter = ',')]
    policy: Vec<Policy>,
    /// File for the rows as CSV, of the window and of the whole run.
    #[arg(long)]
    csv: Option<PathBuf>,
    /// Passed by cargo; without effect.
    #[arg(long, hide = true)]
    bench: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let rows = run(&args);
    table::print(&rows);
    let Some(path) = &args.csv else {
        return ExitCode::SUCCESS;
    };
    match File::create(path).and_then(|file| table::write_csv(&rows, file)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cannot write {}: {error}", path.display());
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Vec<Row> {
    let mut rows = Vec::new();
    for deployment in chosen(&args.deployment) {
        for scenario in chosen(&args.scenario) {
            for policy in chosen(&args.policy) {
                let (window, whole) = Model::new(deployment, scenario, policy, args.seed).run();
                rows.push(Row {
                    deployment,
                    scenario,
                    policy,
                    seed: args.seed,
                    window,
                    whole,
                });
            }
        }
    }
    rows
}

fn chosen<T: ValueEnum>(values: &[T]) -> Vec<T> {
    if values.is_empty() {
        T::value_variants().to_vec()
    } else {
        values.to_vec()
    }
}
