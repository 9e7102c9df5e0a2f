//! Seeded benchmark of request routing: the balancer and baselines under a minimal load model.

mod deployment;
mod event;
mod model;
mod policy;
mod request;
mod sample;
mod scenario;
mod stats;
mod table;
mod worker;

use std::{
    fs::File,
    path::PathBuf,
    process::ExitCode,
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use clap::{Parser, ValueEnum};

use deployment::Deployment;
use model::Model;
use policy::Policy;
use scenario::Scenario;
use stats::Stats;
use table::Row;

/// Simulates each policy in each scenario and prints a table for the window of the peak or fault.
#[derive(Debug, Parser)]
struct Args {
    /// Random seeds; the results of all seeds are pooled.
    #[arg(long, value_delimiter = ',', default_value = "1")]
    seed: Vec<u64>,
    /// Deployments to run; all when none is given.
    #[arg(long, value_delimiter = ',')]
    deployment: Vec<Deployment>,
    /// Scenarios to run; all when none is given.
    #[arg(long, value_delimiter = ',')]
    scenario: Vec<Scenario>,
    /// Policies to run; all when none is given.
    #[arg(long, value_delimiter = ',')]
    policy: Vec<Policy>,
    /// CSV file for the results, of the window and of the whole run.
    #[arg(long)]
    csv: Option<PathBuf>,
    /// Number of parallel simulations; it does not affect the results.
    #[arg(long, default_value_t = 4)]
    threads: usize,
    /// Accepted because `cargo bench` passes it; has no effect.
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
    let mut runs = Vec::new();
    for deployment in selected_or_all(&args.deployment) {
        for scenario in selected_or_all(&args.scenario) {
            for policy in selected_or_all(&args.policy) {
                runs.push((deployment, scenario, policy));
            }
        }
    }
    let next = AtomicUsize::new(0);
    let rows = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..args.threads {
            scope.spawn(|| {
                while let Some(&run) = runs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let row = row(run, &args.seed);
                    rows.lock().expect("no run panics").push((run, row));
                }
            });
        }
    });
    let mut rows = rows.into_inner().expect("no run panics");
    rows.sort_by_key(|&(run, _)| runs.iter().position(|&other| other == run));
    rows.into_iter().map(|(_, row)| row).collect()
}

fn row((deployment, scenario, policy): (Deployment, Scenario, Policy), seeds: &[u64]) -> Row {
    let (mut window, mut whole) = (Stats::new(), Stats::new());
    for &seed in seeds {
        let run_stats = Model::new(deployment, scenario, policy, seed).run();
        window.merge(&run_stats.0);
        whole.merge(&run_stats.1);
    }
    Row {
        deployment,
        scenario,
        policy,
        window,
        whole,
    }
}

fn selected_or_all<T: ValueEnum>(values: &[T]) -> Vec<T> {
    if values.is_empty() {
        T::value_variants().to_vec()
    } else {
        values.to_vec()
    }
}
