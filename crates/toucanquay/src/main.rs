//! Command-line program of toucanquay: entry process, demo and operator commands.

mod api;
mod cli;
mod command;
mod demo;
mod table;

use std::process::ExitCode;

use clap::Parser;

use crate::cli::Cli;

#[tokio::main]
async fn main() -> ExitCode {
    match Cli::parse().run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            eprintln!("hint: {}", error.kind().response().hint);
            ExitCode::from(error.kind().response().exit_code)
        }
    }
}
