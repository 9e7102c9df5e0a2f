//! Routes clients' requests to queues.

use slog::info;
use tokio::time::{Instant, timeout_at};
use toucanquay_model::{Error, ErrorKind};

use super::{Entry, Shared, Target, snapshot::Snapshot};

/// Maximum number of characters of a host name or a path in a log line.
const EXCERPT_CHARS_MAX: usize = 120;

impl Entry {
    /// Returns the queue of a request.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::UnknownRoute`] if the configuration has no route for the request;
    /// [`ErrorKind::StoreUnavailable`] if no configuration was read yet, or if it has no route and
    /// may be outdated.
    pub fn route(&self, host: &str, path: &str) -> Result<Target, Error> {
        let shared = &self.shared;
        let snapshot = shared.snapshot().ok_or_else(unread)?;
        if let Some(target) = find_target(&snapshot, host, path) {
            return Ok(target);
        }
        log_unknown_route(shared, &snapshot, host, path);
        if shared.is_outdated(&snapshot) {
            return Err(outdated(shared, &snapshot));
        }
        Err(Error::new(ErrorKind::UnknownRoute)
            .field("path")
            .value(path))
    }

    /// Waits until the configuration is known to be in force.
    ///
    /// A route may have been removed or changed by a configuration that this entry hasn't read, so
    /// that no job is accepted and no queue is counted before.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::StoreUnavailable`] if it isn't known by the deadline.
    pub async fn await_configuration(&self, deadline: Instant) -> Result<(), Error> {
        let shared = &self.shared;
        loop {
            let confirmed = shared.configuration_confirmed.notified();
            let snapshot = shared.snapshot();
            if snapshot.is_some_and(|snapshot| !shared.is_outdated(&snapshot)) {
                return Ok(());
            }
            if timeout_at(deadline, confirmed).await.is_err() {
                let snapshot = shared.snapshot();
                let error = snapshot.map_or_else(unread, |snapshot| outdated(shared, &snapshot));
                if let Some(suppressed) = shared.take_line(shared.clock.now()) {
                    info!(shared.log, "submission_refused"; "error" => %error,
                        "suppressed" => suppressed);
                }
                return Err(error);
            }
        }
    }
}

fn unread() -> Error {
    Error::new(ErrorKind::StoreUnavailable).context("no configuration was read yet")
}

fn outdated(shared: &Shared, snapshot: &Snapshot) -> Error {
    let age_ms = snapshot.age_micros(shared.clock.now()) / 1_000;
    let version = snapshot.configuration.version;
    Error::new(ErrorKind::StoreUnavailable).context(format!(
        "configuration {version} may be outdated: it was the newest one {age_ms} ms ago"
    ))
}

fn find_target(snapshot: &Snapshot, host: &str, path: &str) -> Option<Target> {
    let configuration = &snapshot.configuration;
    let (route, path_suffix) = configuration.route(host, path)?;
    let policy = configuration.queues.get(&route.queue)?;
    Some(Target {
        queue: route.queue.clone(),
        policy: policy.clone(),
        path_suffix: path_suffix.to_owned(),
    })
}

fn log_unknown_route(shared: &Shared, snapshot: &Snapshot, host: &str, path: &str) {
    let now = shared.clock.now();
    let Some(suppressed) = shared.take_line(now) else {
        return;
    };
    info!(shared.log, "route_unknown"; "host" => excerpt(host), "path" => excerpt(path),
        "version" => snapshot.configuration.version,
        "age_ms" => snapshot.age_micros(now) / 1_000, "suppressed" => suppressed);
}

/// Returns the beginning of a text that a client determines.
fn excerpt(text: &str) -> String {
    text.chars().take(EXCERPT_CHARS_MAX).collect()
}
