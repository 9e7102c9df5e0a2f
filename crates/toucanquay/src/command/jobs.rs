//! `toucanquay jobs`.

use std::path::PathBuf;

use clap::{Args, Subcommand};
use futures_util::StreamExt;
use reqwest::Method;
use toucanquay_model::{Error, ErrorKind, job};

use super::Output;
use crate::api::Api;

/// Where and how to call.
#[derive(Debug, Args)]
pub struct Target {
    /// Address of an entry's listener for clients
    #[arg(
        long,
        env = "TOUCANQUAY_CLIENT",
        default_value = "http://127.0.0.1:7700"
    )]
    client: String,
    /// Form of the output
    #[arg(long, value_enum, default_value_t)]
    output: Output,
}

/// What to do with jobs.
#[derive(Debug, Subcommand)]
pub enum Jobs {
    /// Submit a job from a JSON file
    Submit {
        /// File with the job, `-` for standard input
        file: PathBuf,
        #[command(flatten)]
        target: Target,
    },
    /// List all jobs
    List {
        #[command(flatten)]
        target: Target,
    },
    /// Show one job
    Show {
        /// The job's id
        id: String,
        #[command(flatten)]
        target: Target,
    },
    /// Print each change of a job until it is over
    Watch {
        /// The job's id
        id: String,
        #[command(flatten)]
        target: Target,
    },
    /// Cancel a job
    Cancel {
        /// The job's id
        id: String,
        #[command(flatten)]
        target: Target,
    },
}

impl Jobs {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// The entry's refusal, or the error that kept the command from reaching it.
    pub async fn run(self) -> Result<(), Error> {
        match self {
            Self::Submit { file, target } => {
                let spec = read(&file)?;
                let call = target.api().call(Method::POST, "/jobs").json(&spec);
                target.print(&[target.api().json(call).await?]);
            }
            Self::List { target } => {
                let call = target.api().call(Method::GET, "/jobs");
                let all: Vec<job::Status> = target.api().json(call).await?;
                target.print(&all);
            }
            Self::Show { id, target } => {
                let call = target.api().call(Method::GET, &path(&id)?);
                target.print(&[target.api().json(call).await?]);
            }
            Self::Cancel { id, target } => {
                let call = target.api().call(Method::DELETE, &path(&id)?);
                target.print(&[target.api().json(call).await?]);
            }
            Self::Watch { id, target } => watch(&id, &target).await?,
        }
        Ok(())
    }
}

impl Target {
    fn api(&self) -> Api {
        Api::new(self.client.as_str())
    }

    fn print(&self, jobs: &[job::Status]) {
        let header = [
            "JOB", "TEAM", "KIND", "TASKS", "WAITING", "RUNNING", "FINISHED", "FAILED", "EVICTED",
            "STATE",
        ];
        self.output.print(&header, jobs, |job| {
            vec![
                job.id.to_string(),
                job.team.clone(),
                job.kind.clone(),
                job.tasks.to_string(),
                job.waiting.to_string(),
                job.running.to_string(),
                job.finished.to_string(),
                job.failed.to_string(),
                job.evictions.to_string(),
                state(job),
            ]
        });
    }
}

async fn watch(id: &str, target: &Target) -> Result<(), Error> {
    let route = format!("{}/watch", path(id)?);
    let call = target.api().call(Method::GET, &route);
    let response = target.api().send(call).await?;
    let mut parts = response.bytes_stream();
    while let Some(part) = parts.next().await {
        let part = part.map_err(|cause| Error::new(ErrorKind::TruncatedAnswer).context(cause))?;
        print!("{}", String::from_utf8_lossy(&part));
    }
    Ok(())
}

fn state(job: &job::Status) -> String {
    match &job.unfit {
        _ if job.is_cancelled => "cancelled".to_owned(),
        Some(reason) => format!("unfit: {reason}"),
        None if job.is_over() => "over".to_owned(),
        None => "active".to_owned(),
    }
}

fn path(id: &str) -> Result<String, Error> {
    job::check_name("id", id)?;
    Ok(format!("/jobs/{id}"))
}

fn read(file: &std::path::Path) -> Result<job::Spec, Error> {
    let text = super::document::read(file)?;
    serde_json::from_str(&text).map_err(|cause| {
        Error::new(ErrorKind::MalformedBody)
            .field(file.display().to_string())
            .expected("a job in JSON, see docs/interface.md")
            .context(cause)
    })
}
