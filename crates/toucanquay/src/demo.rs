//! The `demo` subcommand.

mod load;
mod load_stats;
mod system;

use std::{
    io::{IsTerminal, Write},
    sync::Arc,
};

use clap::Args;
use reqwest::Method;
use slog::{Discard, Logger, o};
use tokio::time::{Duration, Instant};
use toucanquay_companion::log;
use toucanquay_model::{Error, ErrorKind, Resources, job};

use crate::{api::EntryClient, table::Table};
use load_stats::LoadStats;
use system::System;

/// Maximum duration of the job and the requests together.
const DEMO_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// Runs the whole system under load in one process on loopback, with a simulated store, task
/// runtimes and upstreams.
#[derive(Debug, Args)]
pub struct Demo {
    /// Number of lookups to send
    #[arg(long, default_value_t = 600)]
    lookups: u32,
    /// Number of reports to send, each twice with the same idempotency key
    #[arg(long, default_value_t = 60)]
    reports: u32,
    /// Number of tasks of the batch job
    #[arg(long, default_value_t = 18)]
    tasks: u32,
    /// Write the log of all processes to standard error
    #[arg(long)]
    log: bool,
}

impl Demo {
    /// Runs the demo.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::OutcomeUnknown`] if the demo ends with a violation, otherwise the error of the
    /// start or of a request about the job.
    pub async fn run(self) -> Result<(), Error> {
        let log = if self.log {
            log::stderr(slog::Level::Info)
        } else {
            Logger::root(Discard, o!())
        };
        println!("starting the store, 2 entries and 3 upstreams in 3 availability zones");
        let system = System::start(log).await?;
        let clients: Vec<EntryClient> = system.clients();
        let load_stats = Arc::new(LoadStats::default());
        let spec = self.job_spec();
        let request = clients[0].request(Method::POST, "/jobs").json(&spec);
        let _: job::Status = clients[0].fetch_json(request).await?;
        println!("submitted job {} with {} tasks", spec.id, spec.tasks);
        let load = tokio::spawn(load::run(
            clients.clone(),
            load_stats.clone(),
            self.lookups,
            self.reports,
        ));
        let status = print_progress_until_done(&clients[1], &spec.id, &load_stats, &load).await?;
        load.await
            .map_err(|cause| Error::new(ErrorKind::OutcomeUnknown).context(cause))?;
        let mut violations = self.find_violations(&system, &load_stats, &status);
        let stop_violations = system.stop().await;
        print_summary(&self, &load_stats, &status);
        violations.extend(stop_violations);
        report_outcome(&violations)
    }

    fn job_spec(&self) -> job::Spec {
        job::Spec {
            id: "dawn-plans".into(),
            team: "stile-desk".to_owned(),
            kind: "repair-plan".to_owned(),
            tasks: self.tasks,
            demand: Resources {
                processors_milli: 4_000,
                memory_mb: 8_000,
                accelerators: 0,
            },
            urgency: job::Urgency::Normal,
            finish_by_unix_ms: None,
            payload: r#"{"run_ms": 300}"#.to_owned(),
        }
    }

    /// Describes lookups without an outcome, mismatched responses, unfinished tasks, reports with a
    /// wrong number of executions, and violations in the records of the workers.
    fn find_violations(
        &self,
        system: &System,
        load_stats: &LoadStats,
        status: &job::Status,
    ) -> Vec<String> {
        let mut violations = system.violations();
        if load_stats.lookups.total() != u64::from(self.lookups) {
            violations.push(format!(
                "{} of {} lookups ended",
                load_stats.lookups.total(),
                self.lookups
            ));
        }
        if load_stats.mismatches() > 0 {
            violations.push(format!(
                "{} responses belong to another request",
                load_stats.mismatches()
            ));
        }
        if status.finished != self.tasks {
            violations.push(format!(
                "{} of {} tasks finished",
                status.finished, self.tasks
            ));
        }
        for report in 0..self.reports {
            let body = load::report_body(report);
            let executions = system.executions(&body);
            let has_response = load_stats.has_report_response(report);
            if executions > 1 || (has_response && executions != 1) {
                violations.push(format!("{body} ran {executions} times"));
            }
        }
        violations
    }
}

/// Prints progress until the job and the load are over, or [`DEMO_TIMEOUT`] has passed. Returns the
/// last status of the job.
async fn print_progress_until_done(
    client: &EntryClient,
    id: &job::Id,
    load_stats: &LoadStats,
    load: &tokio::task::JoinHandle<()>,
) -> Result<job::Status, Error> {
    let deadline = Instant::now() + DEMO_TIMEOUT;
    let is_terminal = std::io::stdout().is_terminal();
    loop {
        let request = client.request(Method::GET, &format!("/jobs/{id}"));
        let status: job::Status = client.fetch_json(request).await?;
        let line = format!(
            "lookups {:>5} answered {:>3} refused | reports {:>3} answered | tasks {:>3} waiting \
             {:>3} running {:>3} finished",
            load_stats.lookups.responses(),
            load_stats.lookups.refused(),
            load_stats.reports.responses(),
            status.waiting,
            status.running,
            status.finished
        );
        if is_terminal {
            print!("\r{line}");
            let _ = std::io::stdout().flush();
        } else {
            println!("{line}");
        }
        if (status.is_over() && load.is_finished()) || Instant::now() > deadline {
            if is_terminal {
                println!();
            }
            return Ok(status);
        }
        tokio::time::sleep(PROGRESS_INTERVAL).await;
    }
}

fn print_summary(demo: &Demo, load_stats: &LoadStats, status: &job::Status) {
    let mut table = Table::new(&["WORK", "SENT", "DONE", "REFUSED", "UNKNOWN", "P50", "P99"]);
    for (name, sent, stats) in [
        ("lookups", demo.lookups, &load_stats.lookups),
        ("reports", demo.reports, &load_stats.reports),
        (
            "repeated reports",
            demo.reports,
            &load_stats.repeated_reports,
        ),
    ] {
        table.push(vec![
            name.to_owned(),
            sent.to_string(),
            stats.responses().to_string(),
            stats.refused().to_string(),
            stats.unknown().to_string(),
            stats.quantile(0.5),
            stats.quantile(0.99),
        ]);
    }
    table.push(vec![
        "tasks".to_owned(),
        demo.tasks.to_string(),
        status.finished.to_string(),
        status.failed.to_string(),
        "0".to_owned(),
        "-".to_owned(),
        "-".to_owned(),
    ]);
    print!("{table}");
}

fn report_outcome(violations: &[String]) -> Result<(), Error> {
    if violations.is_empty() {
        println!("everything is accounted for");
        return Ok(());
    }
    Err(Error::new(ErrorKind::OutcomeUnknown).context(violations.join("; ")))
}
