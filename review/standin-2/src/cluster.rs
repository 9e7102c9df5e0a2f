//! A small deployment: the project's processes, a store, workers and a client.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    json::{Value, object},
    record::Record,
    store::Store,
    worker::{History, Settings, Worker},
};

pub const SERVICE: &str = "desk";
pub const HOST: &str = "desk.example";
pub const PREFIX: &str = "/plans/";

/// Time for which a client waits for a response (`X-Deadline-Ms`).
pub const CLIENT_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Time that a process is down after it was killed.
pub const RESTART_DELAY: Duration = Duration::from_millis(500);

/// One process of the project.
pub struct Process {
    pub name: String,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Process {
    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log file");
        let child = Command::new("target/release/toucanquay-platform")
            .arg(self.role)
            .env("TOUCANQUAY_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("the program of the deploy file starts");
        self.record.write(format!("process {} starts", self.name));
        self.child = Some(child);
    }

    /// Suspends the process for good, so that it is silent like one on a machine without power.
    pub fn suspend(&self) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            let _ = Command::new("kill").args(["-STOP", &id]).status();
            self.record
                .write(format!("process {} is silent from now on", self.name));
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .write(format!("process {} is killed", self.name));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An entry with its addresses.
pub struct Entry {
    pub process: Process,
    pub clients: SocketAddr,
    ready: SocketAddr,
}

/// A running deployment. All processes end when it is dropped.
pub struct Cluster {
    pub entries: Vec<Entry>,
    pub companions: Vec<Process>,
    pub workers: Vec<Worker>,
    pub store: Store,
    pub history: Arc<Mutex<History>>,
    pub record: Record,
    folder: PathBuf,
}

/// Time for which the owner finds the companions, and these their workers.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Ports below those that the system gives to outgoing connections.
const PORTS: std::ops::Range<u32> = 12_000..32_000;

/// Returns an address that is free, and that nobody is given meanwhile.
pub fn free_address() -> SocketAddr {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(61);
    loop {
        let number = first.wrapping_add(TAKEN.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + number % (PORTS.end - PORTS.start);
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl Cluster {
    /// Prepares a deployment with a configuration of one route.
    pub fn new(record: Record, attempts_max: u64) -> Self {
        let store = Store::start().expect("the store starts");
        store.put("op/config", &configuration(1, attempts_max).to_string());
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        Self {
            entries: Vec::new(),
            companions: Vec::new(),
            workers: Vec::new(),
            store,
            history: Arc::default(),
            record,
            folder,
        }
    }

    fn process(&self, name: &str, role: &'static str, settings: &str) -> Process {
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("the settings are written");
        Process {
            name: name.to_owned(),
            role,
            settings: path,
            log: self.folder.join(format!("{name}.log")),
            child: None,
            record: self.record.clone(),
        }
    }

    /// Starts an entry.
    pub fn add_entry(&mut self) {
        let name = format!("front-{}", self.entries.len() + 1);
        let (clients, ready, listen) = (free_address(), free_address(), free_address());
        let settings = format!(
            "name = \"{name}\"\nlisten = \"{listen}\"\nstore = \"{}\"\n\n[entry]\n\
             clients = \"{clients}\"\nready = \"{ready}\"\nprocessors = 0.25\n\
             link_mbps = 1000.0\nconfiguration_ms = 2000\n",
            self.store.address,
        );
        let mut process = self.process(&name, "entry", &settings);
        process.start();
        self.entries.push(Entry {
            process,
            clients,
            ready,
        });
    }

    /// Starts a companion and creates its worker, which isn't up yet.
    pub fn add_side(&mut self, cpu: u64, memory_mb: u64, labels: &[&str]) -> Worker {
        let name = format!("side-{}", self.companions.len() + 1);
        let (heartbeats, listen, worker) = (free_address(), free_address(), free_address());
        let settings = format!(
            "name = \"{name}\"\nlisten = \"{listen}\"\nstore = \"{}\"\n\n[companion]\n\
             heartbeats = \"{heartbeats}\"\nworker = \"{worker}\"\npool = \"{SERVICE}\"\n",
            self.store.address,
        );
        let mut process = self.process(&name, "companion", &settings);
        process.start();
        self.companions.push(process);
        let settings = Settings {
            name,
            service: SERVICE.to_owned(),
            cpu,
            memory_mb,
            labels: labels.iter().map(|label| (*label).to_owned()).collect(),
            heartbeats,
        };
        let worker = Worker::new(settings, worker, self.history.clone(), self.record.clone());
        self.workers.push(worker.clone());
        worker
    }

    /// Starts three entries, and a worker with its companion for each list of labels. Waits until
    /// they have found each other.
    ///
    /// # Errors
    ///
    /// Returns what doesn't work.
    pub fn start_small(&mut self, workers: &[&[&str]]) -> Result<(), String> {
        for _ in 0..3 {
            self.add_entry();
        }
        for labels in workers {
            let worker = self.add_side(16_000, 64_000, labels);
            worker.begin(Duration::from_millis(20));
        }
        if !self.wait_ready() {
            return Err("the entries aren't ready".to_owned());
        }
        thread::sleep(SETTLING_TIME);
        Ok(())
    }

    /// Asks the entries for a job's state until one answers. Returns the last status otherwise.
    pub fn state_anywhere(&self, id: &str) -> String {
        let mut state = String::new();
        for entry in 0..self.entries.len() {
            state = self.state(entry, id);
            if state.parse::<u16>().is_err() {
                break;
            }
        }
        state
    }

    /// Waits until all entries are ready. Returns whether that came about.
    fn wait_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(15);
        for entry in &self.entries {
            while !self.is_ready(entry) {
                if Instant::now() >= deadline {
                    return false;
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
        true
    }

    fn is_ready(&self, entry: &Entry) -> bool {
        let timeout = Duration::from_millis(500);
        let answer = http::call(entry.ready, "GET", "/v1/ready", &[], "", timeout);
        answer.is_ok_and(|(status, _)| status == 200)
    }

    /// Returns the index of the entry that owns the role, by the store.
    pub fn owner(&self) -> Option<usize> {
        let term = Value::parse(self.store.get("tq/owner")?.as_bytes())?;
        let holder = term.get("holder").text()?;
        self.entries
            .iter()
            .position(|entry| entry.process.name == holder)
    }

    /// Sends a request of a client. Returns the status, or 0 without an answer, and the body.
    pub fn call(&self, entry: usize, method: &str, path: &str, body: &str) -> (u16, Value) {
        call_entry(
            &self.record,
            self.entries[entry].clients,
            method,
            path,
            body,
            CLIENT_TIMEOUT,
        )
    }

    pub fn submit(&self, entry: usize, id: &str, job: &Value) -> u16 {
        self.call(entry, "POST", &format!("{PREFIX}{id}"), &job.to_string())
            .0
    }

    /// Returns a job's state, or the status if the answer has none.
    pub fn state(&self, entry: usize, id: &str) -> String {
        let (status, body) = self.call(entry, "GET", &format!("{PREFIX}{id}"), "");
        let state = body.get("state").text().map(str::to_owned);
        state.unwrap_or_else(|| status.to_string())
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for entry in &mut self.entries {
            entry.process.kill();
        }
        for companion in &mut self.companions {
            companion.kill();
        }
        self.store.close();
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Sends a request of a client and records it.
pub fn call_entry(
    record: &Record,
    entry: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> (u16, Value) {
    let deadline_ms = timeout.as_millis().to_string();
    if !body.is_empty() {
        record.write(format!("client sends {method} {path} at {entry}: {body}"));
    }
    let headers = [("Host", HOST), ("X-Deadline-Ms", &deadline_ms)];
    let answer = http::call(entry, method, path, &headers, body, timeout);
    let (status, body) = answer.unwrap_or_default();
    let text = String::from_utf8_lossy(&body);
    let text: String = text.chars().take(120).collect();
    record.write(format!(
        "client {method} {path} at {entry}: {status} {text}"
    ));
    (status, Value::parse(&body).unwrap_or(Value::Null))
}

pub fn configuration(version: u64, attempts_max: u64) -> Value {
    let route = object([
        ("name", "r-plans".into()),
        ("host", HOST.into()),
        ("prefix", PREFIX.into()),
        ("kind", "non_idempotent".into()),
        ("timeoutMs", 3_000.into()),
        ("sloMs", 1_000.into()),
        ("priority", 0.into()),
        ("service", SERVICE.into()),
        ("maxAttempts", attempts_max.into()),
        ("stretch", Value::Number(2.0)),
    ]);
    let service = object([
        ("name", SERVICE.into()),
        ("healthPath", "/healthz".into()),
        ("maxConns", 64.into()),
        ("protocol", "h1".into()),
        ("enforcesCapacity", false.into()),
    ]);
    object([
        ("version", version.into()),
        ("routes", vec![route].into()),
        ("services", vec![service].into()),
        ("limits", object([("maxBodyBytes", 262_144.into())])),
    ])
}
