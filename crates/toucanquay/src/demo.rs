//! `toucanquay demo`.

mod load;
mod system;
mod tally;

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

use crate::{api::Api, table::Table};
use system::System;
use tally::Tally;

/// Longest time for the job and the requests together.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Time between two progress lines.
const INTERVAL: Duration = Duration::from_millis(500);

/// Run the whole system in one process on loopback, with stand-ins, and send it some work.
#[derive(Debug, Args)]
pub struct Demo {
    /// Lookups to send
    #[arg(long, default_value_t = 600)]
    lookups: u32,
    /// Reports to file, each with an idempotency key and each sent twice
    #[arg(long, default_value_t = 60)]
    reports: u32,
    /// Tasks of the batch job
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
    /// [`ErrorKind::OutcomeUnknown`] when something that was sent is not accounted for.
    pub async fn run(self) -> Result<(), Error> {
        let log = if self.log {
            log::stderr(slog::Level::Info)
        } else {
            Logger::root(Discard, o!())
        };
        println!("starting the store, 2 entries and 3 upstreams in 3 availability zones");
        let system = System::start(log).await?;
        let clients: Vec<Api> = system.clients();
        let tally = Arc::new(Tally::default());
        let spec = self.spec();
        let submission = clients[0].call(Method::POST, "/jobs").json(&spec);
        let _: job::Status = clients[0].json(submission).await?;
        println!("submitted job {} with {} tasks", spec.id, spec.tasks);
        let load = tokio::spawn(load::run(
            clients.clone(),
            tally.clone(),
            self.lookups,
            self.reports,
        ));
        let status = watch(&clients[1], &spec.id, &tally, &load).await?;
        load.await
            .map_err(|cause| Error::new(ErrorKind::OutcomeUnknown).context(cause))?;
        let mut faults = self.account(&system, &tally, &status);
        let stop_faults = system.stop().await;
        print_summary(&self, &tally, &status);
        faults.extend(stop_faults);
        conclude(&faults)
    }

    fn spec(&self) -> job::Spec {
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

    /// Returns what is not accounted for.
    fn account(&self, system: &System, tally: &Tally, status: &job::Status) -> Vec<String> {
        let mut faults = system.faults();
        if tally.lookups.sum() != u64::from(self.lookups) {
            faults.push(format!(
                "{} of {} lookups ended",
                tally.lookups.sum(),
                self.lookups
            ));
        }
        if tally.wrong_answers() > 0 {
            faults.push(format!(
                "{} answers to another request",
                tally.wrong_answers()
            ));
        }
        if status.finished != self.tasks {
            faults.push(format!(
                "{} of {} tasks finished",
                status.finished, self.tasks
            ));
        }
        for report in 0..self.reports {
            let body = load::report(report);
            let runs = system.executions(&body);
            let is_answered = tally.is_report_answered(report);
            if runs > 1 || (is_answered && runs != 1) {
                faults.push(format!("{body} ran {runs} times"));
            }
        }
        faults
    }
}

/// Prints progress until the job and the load are over.
async fn watch(
    api: &Api,
    id: &job::Id,
    tally: &Tally,
    load: &tokio::task::JoinHandle<()>,
) -> Result<job::Status, Error> {
    let deadline = Instant::now() + TIMEOUT;
    let is_terminal = std::io::stdout().is_terminal();
    loop {
        let call = api.call(Method::GET, &format!("/jobs/{id}"));
        let status: job::Status = api.json(call).await?;
        let line = format!(
            "lookups {:>5} answered {:>3} refused | reports {:>3} answered | tasks {:>3} waiting \
             {:>3} running {:>3} finished",
            tally.lookups.answered(),
            tally.lookups.refused(),
            tally.reports.answered(),
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
        tokio::time::sleep(INTERVAL).await;
    }
}

fn print_summary(demo: &Demo, tally: &Tally, status: &job::Status) {
    let mut table = Table::new(&["WORK", "SENT", "DONE", "REFUSED", "UNKNOWN", "P50", "P99"]);
    for (name, sent, row) in [
        ("lookups", demo.lookups, &tally.lookups),
        ("reports", demo.reports, &tally.reports),
        ("repeated reports", demo.reports, &tally.repeats),
    ] {
        table.push(vec![
            name.to_owned(),
            sent.to_string(),
            row.answered().to_string(),
            row.refused().to_string(),
            row.unknown().to_string(),
            row.quantile(0.5),
            row.quantile(0.99),
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

fn conclude(faults: &[String]) -> Result<(), Error> {
    if faults.is_empty() {
        println!("everything is accounted for");
        return Ok(());
    }
    Err(Error::new(ErrorKind::OutcomeUnknown).context(faults.join("; ")))
}
