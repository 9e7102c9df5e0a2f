//! System under demonstration: store, entries and workers in this process.

use reqwest::Method;
use serde_json::json;
use slog::Logger;
use tokio::time::{Duration, Instant};
use toucanquay_companion::{Companion, Settings as CompanionSettings};
use toucanquay_entry::{
    Entry, Settings as EntrySettings,
    operator::{AcceptedEdit, InForce, Upstream as KnownUpstream},
};
use toucanquay_model::{Error, ErrorKind, Resources};
use toucanquay_standin::{Runtime, Store, Upstream, runtime};

use crate::api::EntryClient;

/// Maximum time until the system is ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Configuration section of the demo's team.
const SECTION: &str = "\
[services.stile-desk]
deadline_ms = 5000
[batch.repair-plan]
";

/// Capacity of each worker for batch tasks.
const CAPACITY: Resources = Resources {
    processors_milli: 12_000,
    memory_mb: 48_000,
    accelerators: 0,
};

/// Worker: upstream, task runtime and companion.
#[derive(Debug)]
struct Worker {
    upstream: Upstream,
    runtime: Runtime,
    companion: Companion,
}

/// Store, entries and workers of the demo.
#[derive(Debug)]
pub struct System {
    /// Kept because dropping it stops the store.
    _store: Store,
    entries: Vec<Entry>,
    workers: Vec<Worker>,
}

impl System {
    /// Starts all components and waits until the system is ready.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::PeerUnavailable`] when a stand-in can't start or the system is not ready in
    /// time, or the error of an entry or a companion.
    pub async fn start(log: Logger) -> Result<Self, Error> {
        let store = Store::start().await.map_err(start_error)?;
        let mut entries = Vec::new();
        for (name, zone) in [("entry-1", "a"), ("entry-2", "b")] {
            let settings = EntrySettings::new(name, zone, store.address()).balancer_wait_ms(100);
            entries.push(Entry::start(settings, log.clone()).await?);
        }
        let peers: Vec<_> = entries.iter().map(Entry::peer_address).collect();
        let mut workers = Vec::new();
        for (name, zone) in [("worker-a", "a"), ("worker-b", "b"), ("worker-c", "c")] {
            let upstream = Upstream::start().await.map_err(start_error)?;
            let runtime = Runtime::start().await.map_err(start_error)?;
            let address = format!("http://{}", upstream.address());
            let settings = CompanionSettings::new(name, "stile-desk", "stile-desk", address)
                .entries(peers.clone())
                .zone_and_rack(zone, "1")
                .health_path("/health")
                .runtime(format!("http://{}", runtime.address()))
                .capacity(CAPACITY);
            let companion = Companion::start(settings, log.clone())
                .await
                .map_err(|errors| first_error(&errors))?;
            workers.push(Worker {
                upstream,
                runtime,
                companion,
            });
        }
        let system = Self {
            _store: store,
            entries,
            workers,
        };
        system.configure().await?;
        Ok(system)
    }

    /// Returns a client of each entry's client listener.
    pub fn clients(&self) -> Vec<EntryClient> {
        let client = |entry: &Entry| EntryClient::new(format!("http://{}", entry.client_address()));
        self.entries.iter().map(client).collect()
    }

    /// Returns how many times the upstreams executed a request with this body.
    pub fn executions(&self, body: &str) -> u32 {
        let executions_of = |worker: &Worker| worker.upstream.executions(body);
        self.workers.iter().map(executions_of).sum()
    }

    /// Describes the violations in the workers' records: a worker over its capacity, or a task of
    /// which two attempts overlapped.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        let mut intervals = Vec::new();
        for worker in &self.workers {
            let held = worker.runtime.peak_resources();
            if !held.fits(&CAPACITY) {
                violations.push(format!("a worker held {held}, more than its capacity"));
            }
            intervals.extend(worker.runtime.run_intervals());
        }
        let overlaps = runtime::find_overlaps(&intervals);
        if !overlaps.is_empty() {
            violations.push(format!(
                "{} pairs of attempts at one task overlapped",
                overlaps.len()
            ));
        }
        violations
    }

    /// Stops all components gracefully, and describes those that did not complete their work.
    pub async fn stop(self) -> Vec<String> {
        let mut violations = Vec::new();
        for worker in self.workers {
            if !worker.companion.stop().await {
                violations.push("a companion stopped with unfinished requests or tasks".to_owned());
            }
        }
        for entry in self.entries {
            if entry.stop().await > 0 {
                violations.push("an entry stopped with unfinished requests".to_owned());
            }
        }
        violations
    }

    /// Writes the configuration, then waits until every entry has all upstreams, one is the cell
    /// owner, and the configuration is in force.
    async fn configure(&self) -> Result<(), Error> {
        let deadline = Instant::now() + START_TIMEOUT;
        let operators: Vec<EntryClient> = self
            .entries
            .iter()
            .map(|entry| EntryClient::new(format!("http://{}", entry.operator_address())))
            .collect();
        let body = json!({ "text": SECTION, "expected": 0, "author": "demo" });
        let request = operators[0].request(Method::PUT, "/document/stile-desk");
        let accepted: AcceptedEdit = operators[0].fetch_json(request.json(&body)).await?;
        for client in &operators {
            while !self.is_ready(client).await? {
                if Instant::now() > deadline {
                    return Err(Error::new(ErrorKind::PeerUnavailable).context(
                        "the entries did not find all upstreams and a cell owner in time",
                    ));
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            let path = format!("/document-in-force?revision={}", accepted.revision);
            let state: InForce = client
                .fetch_json(client.request(Method::GET, &path))
                .await?;
            if !state.is_in_force {
                return Err(Error::new(ErrorKind::PeerUnavailable)
                    .value(state.lagging.join(", "))
                    .expected("the configuration in force"));
            }
        }
        Ok(())
    }

    async fn is_ready(&self, operator: &EntryClient) -> Result<bool, Error> {
        let request = operator.request(Method::GET, "/upstreams");
        let upstreams: Vec<KnownUpstream> = operator.fetch_json(request).await?;
        let available = upstreams
            .iter()
            .filter(|upstream| upstream.state == "available");
        Ok(available.count() == self.workers.len() && self.entries.iter().any(Entry::is_owner))
    }
}

fn start_error(cause: std::io::Error) -> Error {
    Error::new(ErrorKind::PeerUnavailable).context(cause)
}

fn first_error(errors: &[Error]) -> Error {
    errors
        .first()
        .cloned()
        .unwrap_or_else(|| Error::new(ErrorKind::InvalidSetting))
}
