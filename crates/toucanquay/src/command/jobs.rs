//! The `jobs` subcommand.

use std::path::PathBuf;

use clap::{Args, Subcommand};
use futures_util::StreamExt;
use reqwest::Method;
use toucanquay_model::{Error, ErrorKind, job};

use super::Output;
use crate::api::EntryClient;

/// Listener to call and output format.
#[derive(Debug, Args)]
pub struct Target {
    /// URL of an entry's client listener
    #[arg(
        long,
        env = "TOUCANQUAY_CLIENT",
        default_value = "http://127.0.0.1:7700"
    )]
    client: String,
    /// Output format
    #[arg(long, value_enum, default_value_t)]
    output: Output,
}

/// Commands for batch jobs.
#[derive(Debug, Subcommand)]
pub enum Jobs {
    /// Submit a job from a JSON file
    Submit {
        /// Job file, or `-` for standard input
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
        /// Job id
        id: String,
        #[command(flatten)]
        target: Target,
    },
    /// Print each status change of a job until it is over
    Watch {
        /// Job id
        id: String,
        #[command(flatten)]
        target: Target,
    },
    /// Cancel a job
    Cancel {
        /// Job id
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
    /// The error that the entry returned, the error that kept the command from reaching it, or the
    /// error of an invalid file or argument.
    pub async fn run(self) -> Result<(), Error> {
        match self {
            Self::Submit { file, target } => {
                let spec = read_spec(&file)?;
                let request = target
                    .entry_client()
                    .request(Method::POST, "/jobs")
                    .json(&spec);
                target.print(&[target.entry_client().fetch_json(request).await?]);
            }
            Self::List { target } => {
                let request = target.entry_client().request(Method::GET, "/jobs");
                let statuses: Vec<job::Status> = target.entry_client().fetch_json(request).await?;
                target.print(&statuses);
            }
            Self::Show { id, target } => {
                let request = target.entry_client().request(Method::GET, &job_path(&id)?);
                target.print(&[target.entry_client().fetch_json(request).await?]);
            }
            Self::Cancel { id, target } => {
                let request = target
                    .entry_client()
                    .request(Method::DELETE, &job_path(&id)?);
                target.print(&[target.entry_client().fetch_json(request).await?]);
            }
            Self::Watch { id, target } => watch(&id, &target).await?,
        }
        Ok(())
    }
}

impl Target {
    fn entry_client(&self) -> EntryClient {
        EntryClient::new(self.client.as_str())
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
                state_label(job),
            ]
        });
    }
}

async fn watch(id: &str, target: &Target) -> Result<(), Error> {
    let path = format!("{}/watch", job_path(id)?);
    let request = target.entry_client().request(Method::GET, &path);
    let response = target.entry_client().send(request).await?;
    let mut chunks = response.bytes_stream();
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|cause| Error::new(ErrorKind::TruncatedAnswer).context(cause))?;
        print!("{}", String::from_utf8_lossy(&chunk));
    }
    Ok(())
}

fn state_label(job: &job::Status) -> String {
    match &job.unfit {
        _ if job.is_cancelled => "cancelled".to_owned(),
        Some(reason) => format!("unfit: {reason}"),
        None if job.is_over() => "over".to_owned(),
        None => "active".to_owned(),
    }
}

fn job_path(id: &str) -> Result<String, Error> {
    job::check_name("id", id)?;
    Ok(format!("/jobs/{id}"))
}

fn read_spec(file: &std::path::Path) -> Result<job::Spec, Error> {
    let text = super::document::read_file(file)?;
    serde_json::from_str(&text).map_err(|cause| {
        Error::new(ErrorKind::MalformedBody)
            .field(file.display().to_string())
            .expected("a JSON job as described in docs/interface.md")
            .context(cause)
    })
}
