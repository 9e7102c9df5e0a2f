//! Command-line interface.

use clap::{CommandFactory, Parser, Subcommand};
use toucanquay_entry::Settings;
use toucanquay_model::Error;

use crate::{
    command::{Document, Jobs, Timeline, Upstreams, entry},
    demo::Demo,
};

/// Scheduler for latency-critical requests and batch work on shared hosts
#[derive(Debug, Parser)]
#[command(name = "toucanquay", version, propagate_version = true)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

/// Subcommand.
#[derive(Debug, Subcommand)]
enum Command {
    /// Run the entry process on this host
    Entry(Box<Settings>),
    /// Run the whole system under load in one process on loopback, with a simulated store
    Demo(Demo),
    /// Check, read and edit the configuration document
    #[command(subcommand)]
    Document(Document),
    /// Submit, show, watch and cancel batch jobs
    #[command(subcommand)]
    Jobs(Jobs),
    /// List upstreams with their availability zone, load and state
    Upstreams(Upstreams),
    /// Merge the log lines of several processes about one job, task, request or worker
    Timeline(Timeline),
    /// Print shell completions
    Completions {
        /// Shell to generate completions for
        shell: clap_complete::Shell,
    },
}

impl Cli {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// The error of the subcommand. Its kind determines the exit code.
    pub async fn run(self) -> Result<(), Error> {
        match self.command {
            Command::Entry(settings) => entry::run(*settings).await,
            Command::Demo(demo) => demo.run().await,
            Command::Document(document) => document.run().await,
            Command::Jobs(jobs) => jobs.run().await,
            Command::Upstreams(upstreams) => upstreams.run().await,
            Command::Timeline(timeline) => timeline.run(),
            Command::Completions { shell } => {
                let mut command = Self::command();
                clap_complete::generate(shell, &mut command, "toucanquay", &mut std::io::stdout());
                Ok(())
            }
        }
    }
}
