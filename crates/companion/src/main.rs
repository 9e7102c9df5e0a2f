//! Command-line entry point of `toucanquay-companion`.

use std::process::ExitCode;

use clap::Parser;
use slog::{Level, error};
use tokio::signal::unix::{SignalKind, signal};
use toucanquay_companion::{Companion, Settings, exporter, log};
use toucanquay_model::{Error, ErrorKind};

/// Sidecar process of an upstream: announces it, enforces its limits, forwards requests and runs
/// batch tasks under leases.
#[derive(Debug, Parser)]
#[command(version, name = "toucanquay-companion")]
struct Arguments {
    #[command(flatten)]
    settings: Settings,

    /// Minimum level of log lines: error, warning, info, debug or trace
    #[arg(long, env = "TOUCANQUAY_LOG", default_value = "info", value_parser = parse_level)]
    log: Level,
}

fn parse_level(text: &str) -> Result<Level, String> {
    text.parse()
        .map_err(|()| "expected error, warning, info, debug or trace".to_owned())
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let log = log::stderr(arguments.log);
    match run(arguments.settings, &log).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(errors) => {
            for error in &errors {
                let hint = error.kind().response().hint;
                error!(log, "start_failed"; "error" => %error, "hint" => hint);
            }
            let kind = errors
                .first()
                .map_or(ErrorKind::InvalidSetting, Error::kind);
            ExitCode::from(kind.response().exit_code)
        }
    }
}

/// Runs a companion until SIGTERM or SIGINT, then stops it gracefully.
async fn run(settings: Settings, log: &slog::Logger) -> Result<(), Vec<Error>> {
    let mut terminate = listen_for(SignalKind::terminate())?;
    let mut interrupt = listen_for(SignalKind::interrupt())?;
    if let Some(address) = settings.metrics_listen {
        exporter::start(address)
            .await
            .map_err(|error| vec![error])?;
    }
    let companion = Companion::start(settings, log.clone()).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    companion.stop().await;
    Ok(())
}

fn listen_for(kind: SignalKind) -> Result<tokio::signal::unix::Signal, Vec<Error>> {
    signal(kind).map_err(|cause| {
        let error = Error::new(ErrorKind::InvalidSetting)
            .field("signal")
            .context(cause);
        vec![error]
    })
}
