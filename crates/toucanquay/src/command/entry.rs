//! The `entry` subcommand.

use slog::{info, warn};
use tokio::signal::unix::{SignalKind, signal};
use toucanquay_companion::log;
use toucanquay_entry::{Entry, Settings};
use toucanquay_model::{Error, ErrorKind};

/// Runs an entry until SIGTERM or SIGINT, then stops it gracefully.
///
/// # Errors
///
/// [`ErrorKind::InvalidSetting`] when a setting is invalid or a listener can't be bound.
pub async fn run(settings: Settings) -> Result<(), Error> {
    check_settings(&settings)?;
    let log = log::stderr(slog::Level::Info);
    let mut terminate = subscribe(SignalKind::terminate())?;
    let mut interrupt = subscribe(SignalKind::interrupt())?;
    let entry = Entry::start(settings, log.clone()).await?;
    println!(
        "client={} operator={} peer={}",
        entry.client_address(),
        entry.operator_address(),
        entry.peer_address()
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    info!(log, "stop_requested");
    let remaining = entry.stop().await;
    if remaining > 0 {
        warn!(log, "stop_deadline_passed"; "requests" => remaining);
    }
    Ok(())
}

/// Validates the settings. Prints all errors but the last, which `main` prints.
fn check_settings(settings: &Settings) -> Result<(), Error> {
    let Err(mut errors) = settings.check() else {
        return Ok(());
    };
    let last = errors.pop();
    for error in errors {
        eprintln!("error: {error}");
    }
    last.map_or(Ok(()), Err)
}

fn subscribe(kind: SignalKind) -> Result<tokio::signal::unix::Signal, Error> {
    signal(kind).map_err(|cause| Error::new(ErrorKind::InvalidSetting).context(cause))
}
