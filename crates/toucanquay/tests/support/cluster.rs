//! Test cluster of a store, entries and workers.

use reqwest::{Client, Method, Response};
use serde_json::{Value, json};
use toucanquay_model::{Resources, job};
use toucanquay_standin::{Runtime, Store, Upstream};

use super::{eventually, process::Process};

/// Configuration section of the default team.
pub const SECTION: &str = "\
[services.desk]
deadline_ms = 10000
body_bytes_max = 2000
watches = [\"/feed\"]
[batch.plan]
";

/// Configuration section of team `guest`, which provides one more worker.
pub const GUEST_SECTION: &str = "\
[services.kiosk]
deadline_ms = 10000
";

/// Worker with a stand-in upstream and task runtime in this process, and a companion process.
#[derive(Debug)]
pub struct Worker {
    /// Stand-in for the upstream.
    pub upstream: Upstream,
    /// Stand-in for the task runtime.
    pub runtime: Runtime,
    /// Companion process.
    pub companion: Process,
    arguments: Vec<String>,
}

/// Entry process and the addresses of its listeners.
#[derive(Debug)]
pub struct Entry {
    /// Entry process.
    pub process: Process,
    /// Address of the client listener.
    pub client: String,
    /// Address of the operator listener.
    pub operator: String,
    /// Address of the peer listener.
    pub peer: String,
}

/// Test cluster.
#[derive(Debug)]
pub struct Cluster {
    /// Stand-in for the store.
    pub store: Store,
    /// Entries, by index.
    pub entries: Vec<Entry>,
    /// Workers, by index.
    pub workers: Vec<Worker>,
    http: Client,
}

impl Cluster {
    /// Starts a cluster with one more worker, which belongs to team `guest` and whose upstream
    /// serves `kiosk`.
    pub async fn start_with_guest(entries: usize, workers: usize) -> Self {
        let mut cluster = Self::start_entries(entries).await;
        cluster.store.write("config/section/guest", GUEST_SECTION);
        for number in 0..workers {
            cluster.add_worker(number, "team", "desk").await;
        }
        cluster.add_worker(workers, "guest", "kiosk").await;
        cluster.wait_until_ready().await;
        cluster
    }

    /// Starts a cluster and waits until it is ready.
    pub async fn start(entries: usize, workers: usize) -> Self {
        let mut cluster = Self::start_entries(entries).await;
        for number in 0..workers {
            cluster.add_worker(number, "team", "desk").await;
        }
        cluster.wait_until_ready().await;
        cluster
    }

    async fn start_entries(entries: usize) -> Self {
        let store = Store::start().await.expect("the store starts");
        store.write("config/section/team", SECTION);
        let mut cluster = Self {
            store,
            entries: Vec::new(),
            workers: Vec::new(),
            http: Client::new(),
        };
        for number in 0..entries {
            cluster.add_entry(number, &[]).await;
        }
        cluster
    }

    /// Starts another entry with extra command-line arguments.
    pub async fn add_entry(&mut self, number: usize, extra_arguments: &[&str]) {
        let entry = Entry::start(number, &self.store, extra_arguments).await;
        self.entries.push(entry);
    }

    /// Waits until each entry sees as many available upstreams as there are workers, and the cell
    /// has an owner.
    pub async fn wait_until_ready(&self) {
        for entry in 0..self.entries.len() {
            eventually("all upstreams are available", || async {
                let upstreams = self.upstreams(entry).await?;
                let is_available = |upstream: &&Value| upstream["state"] == "available";
                let count = upstreams.as_array()?.iter().filter(is_available).count();
                (count == self.workers.len()).then_some(())
            })
            .await;
        }
        eventually("the cell has an owner", || async {
            let response = self
                .client_request(0, Method::GET, "/jobs")
                .send()
                .await
                .ok()?;
            response.status().is_success().then_some(())
        })
        .await;
    }

    /// Returns the list of upstreams from an entry's operator listener.
    pub async fn upstreams(&self, entry: usize) -> Option<Value> {
        let url = format!("http://{}/upstreams", self.entries[entry].operator);
        self.http.get(url).send().await.ok()?.json().await.ok()
    }

    /// Starts building a request to an entry's client listener.
    pub fn client_request(
        &self,
        entry: usize,
        method: Method,
        path: &str,
    ) -> reqwest::RequestBuilder {
        let url = format!("http://{}{path}", self.entries[entry].client);
        self.http.request(method, url)
    }

    /// Starts building a request to an entry's operator listener.
    pub fn operator_request(
        &self,
        entry: usize,
        method: Method,
        path: &str,
    ) -> reqwest::RequestBuilder {
        let url = format!("http://{}{path}", self.entries[entry].operator);
        self.http.request(method, url)
    }

    /// Submits a job of normal urgency whose tasks run for `run_ms`, and returns the response.
    pub async fn submit(&self, entry: usize, id: &str, tasks: u32, run_ms: u64) -> Response {
        self.submit_with_urgency(entry, id, tasks, run_ms, job::Urgency::Normal)
            .await
    }

    /// Submits a job whose tasks run for `run_ms`, and returns the response.
    pub async fn submit_with_urgency(
        &self,
        entry: usize,
        id: &str,
        tasks: u32,
        run_ms: u64,
        urgency: job::Urgency,
    ) -> Response {
        let spec = job::Spec {
            id: id.into(),
            team: "team".to_owned(),
            kind: "plan".to_owned(),
            tasks,
            demand: Resources {
                processors_milli: 1_000,
                memory_mb: 1_000,
                accelerators: 0,
            },
            urgency,
            finish_by_unix_ms: None,
            payload: json!({ "run_ms": run_ms }).to_string(),
        };
        self.client_request(entry, Method::POST, "/jobs")
            .json(&spec)
            .send()
            .await
            .expect("the entry responds")
    }

    /// Returns the status of a job, or `None` if the entry or the owner can't be reached.
    pub async fn job_status(&self, entry: usize, id: &str) -> Option<job::Status> {
        let request = self.client_request(entry, Method::GET, &format!("/jobs/{id}"));
        request.send().await.ok()?.json().await.ok()
    }

    /// Waits until a job is over and returns its status.
    pub async fn wait_for_job(&self, entry: usize, id: &str) -> job::Status {
        eventually("the job is over", || async {
            let status = self.job_status(entry, id).await?;
            status.is_over().then_some(status)
        })
        .await
    }

    /// Returns how many times the upstreams executed a request with this body.
    pub fn executions(&self, body: &str) -> u32 {
        let executions_of = |worker: &Worker| worker.upstream.executions(body);
        self.workers.iter().map(executions_of).sum()
    }

    /// Asserts that no two attempts at a task overlapped and that no worker exceeded its capacity.
    pub fn assert_task_invariants(&self) {
        let intervals: Vec<_> = self
            .workers
            .iter()
            .flat_map(|worker| worker.runtime.run_intervals())
            .collect();
        let overlaps = toucanquay_standin::runtime::find_overlaps(&intervals);
        assert!(
            overlaps.is_empty(),
            "attempts at the same task overlapped: {overlaps:?}"
        );
        for worker in &self.workers {
            let held = worker.runtime.peak_resources();
            assert!(
                held.fits(&CAPACITY),
                "a worker held {held}, more than its capacity"
            );
        }
    }

    /// Returns the index of the entry that owns the cell.
    pub fn owner_index(&self) -> usize {
        let holder = self
            .store
            .get("cell/0/holder")
            .expect("the cell has a holder");
        let is_holder = |entry: &Entry| holder.value.contains(&format!("\"{}\"", entry.peer));
        self.entries
            .iter()
            .position(is_holder)
            .expect("the holder is an entry of the cluster")
    }

    /// Returns the number of running tasks on all workers.
    pub fn running_tasks(&self) -> usize {
        self.workers
            .iter()
            .map(|worker| worker.runtime.running_count())
            .sum()
    }

    /// Returns the number of attempts started on all workers so far.
    pub fn started_attempts(&self) -> usize {
        let attempts_of = |worker: &Worker| worker.runtime.run_intervals().len();
        self.workers.iter().map(attempts_of).sum()
    }

    async fn add_worker(&mut self, number: usize, team: &str, service: &str) {
        let upstream = Upstream::start().await.expect("the upstream starts");
        let runtime = Runtime::start().await.expect("the runtime starts");
        let peers: Vec<&str> = self
            .entries
            .iter()
            .map(|entry| entry.peer.as_str())
            .collect();
        let mut arguments = companion_arguments(number, &upstream, &runtime, &peers.join(","));
        arguments.push(format!("--team={team}"));
        arguments.push(format!("--service={service}"));
        let companion = Process::start_companion(&arguments);
        self.workers.push(Worker {
            upstream,
            runtime,
            companion,
            arguments,
        });
    }
}

/// Capacity of each worker for batch tasks.
const CAPACITY: Resources = Resources {
    processors_milli: 4_000,
    memory_mb: 8_000,
    accelerators: 0,
};

impl Worker {
    /// Starts a new companion with the same arguments after the previous one has exited.
    pub fn restart_companion(&mut self) {
        self.companion = Process::start_companion(&self.arguments);
    }
}

impl Entry {
    /// Starts an entry and waits until it listens.
    pub async fn start(number: usize, store: &Store, extra_arguments: &[&str]) -> Self {
        let zone = ["a", "b", "c"][number % 3];
        let mut arguments = vec![
            "entry".to_owned(),
            format!("--name=entry-{number}"),
            format!("--zone={zone}"),
            format!("--store={}", store.address()),
            "--client-listen=127.0.0.1:0".to_owned(),
            "--operator-listen=127.0.0.1:0".to_owned(),
            "--balancer-wait-ms=100".to_owned(),
            "--holder-lease-ms=2000".to_owned(),
        ];
        if !extra_arguments
            .iter()
            .any(|argument| argument.starts_with("--peer-listen"))
        {
            arguments.push("--peer-listen=127.0.0.1:0".to_owned());
        }
        arguments.extend(extra_arguments.iter().map(|&argument| argument.to_owned()));
        // The port of a process that has just exited may still be in use, so the start is retried.
        let (process, line) =
            eventually("the entry listens", || Process::start_entry(&arguments)).await;
        let address = |name: &str| {
            line.split_whitespace()
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
                .expect("the line has the address of the listener")
                .to_owned()
        };
        Self {
            process,
            client: address("client"),
            operator: address("operator"),
            peer: address("peer"),
        }
    }
}

fn companion_arguments(
    number: usize,
    upstream: &Upstream,
    runtime: &Runtime,
    peers: &str,
) -> Vec<String> {
    let zone = ["a", "b", "c"][number % 3];
    vec![
        format!("--worker=worker-{number}"),
        format!("--zone={zone}"),
        format!("--entries={peers}"),
        format!("--upstream=http://{}", upstream.address()),
        format!("--runtime=http://{}", runtime.address()),
        "--listen=127.0.0.1:0".to_owned(),
        "--health-path=/health".to_owned(),
        format!("--processors-milli={}", CAPACITY.processors_milli),
        format!("--memory-mb={}", CAPACITY.memory_mb),
    ]
}
