//! Routes clients' requests to queues.

use slog::info;
use toucanquay_model::{Error, ErrorKind};

use super::{Entry, Shared, Target, snapshot::Snapshot};

impl Entry {
    /// Returns the queue of a request.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::StoreUnavailable`] if no configuration was read yet;
    /// [`ErrorKind::UnknownRoute`] if it has no route for the request.
    pub fn route(&self, host: &str, path: &str) -> Result<Target, Error> {
        let shared = &self.shared;
        let snapshot = shared.snapshot().ok_or_else(|| {
            Error::new(ErrorKind::StoreUnavailable).context("no configuration was read yet")
        })?;
        find_target(&snapshot, host, path).ok_or_else(|| {
            log_unknown_route(shared, &snapshot, host, path);
            Error::new(ErrorKind::UnknownRoute)
                .field("path")
                .value(path)
        })
    }
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
    info!(shared.log, "route_unknown"; "host" => host, "path" => path,
        "version" => snapshot.configuration.version,
        "age_ms" => snapshot.age_micros(now) / 1_000, "suppressed" => suppressed);
}
