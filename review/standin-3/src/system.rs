//! The programs under test, with the commands of the deploy file, and a client.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    json::{Json, object},
    record::Record,
    store::Store,
    worker::Workers,
};

const HOST: &str = "desk.example";
const PROGRAM: &str = "target/release/toucanquay-platform";

/// A process of the system.
pub struct Process {
    pub name: String,
    role: &'static str,
    settings: PathBuf,
    child: Child,
    /// Address for clients, or for heartbeats.
    pub address: SocketAddr,
    ready: Option<SocketAddr>,
}

/// A client, which knows the addresses of the entries.
#[derive(Clone)]
pub struct Client {
    addresses: Vec<SocketAddr>,
    pub record: Record,
}

/// A deployment: a store, entries, and workers with their companions.
pub struct System {
    pub store: Store,
    pub workers: Workers,
    pub entries: Vec<Process>,
    pub companions: Vec<Process>,
    record: Record,
    folder: PathBuf,
}

impl System {
    /// Starts the deployment and waits until it can run tasks.
    pub fn start(entries: usize, workers: usize, record: &Record) -> Option<Self> {
        let folder = std::env::temp_dir().join(format!("standin-3-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let store = Store::start();
        store.put("op/config", &configuration(1));
        let mut system = Self {
            store,
            workers: Workers::new(record.clone()),
            entries: Vec::new(),
            companions: Vec::new(),
            record: record.clone(),
            folder,
        };
        for index in 0..workers {
            system.add_worker(index)?;
        }
        for index in 0..entries {
            system.add_entry(index)?;
        }
        system.wait_ready().then_some(system)
    }

    fn add_worker(&mut self, index: usize) -> Option<()> {
        let name = format!("side-{index}");
        let (listen, heartbeats) = (free_address()?, free_address()?);
        let worker = self.workers.add(&format!("worker-{index}"), heartbeats);
        let settings = format!(
            "name = \"{name}\"\nlisten = \"{listen}\"\nstore = \"{}\"\n[limits]\n\
             memory_mb = 128\ndescriptors = 4096\n[companion]\nheartbeats = \"{heartbeats}\"\n\
             worker = \"{}\"\npool = \"desk\"\n",
            self.store.server.address,
            self.workers.address(worker),
        );
        let process = self.spawn(name, "companion", &settings, heartbeats, None)?;
        self.companions.push(process);
        Some(())
    }

    fn add_entry(&mut self, index: usize) -> Option<()> {
        let name = format!("front-{index}");
        let (listen, clients, ready) = (free_address()?, free_address()?, free_address()?);
        let settings = format!(
            "name = \"{name}\"\nlisten = \"{listen}\"\nstore = \"{}\"\n[limits]\n\
             memory_mb = 260\ndescriptors = 4100\n[entry]\nclients = \"{clients}\"\n\
             ready = \"{ready}\"\nprocessors = 0.25\nlink_mbps = 1000.0\n\
             configuration_ms = 2000\nfar_factor = 1.5\n",
            self.store.server.address,
        );
        let process = self.spawn(name, "entry", &settings, clients, Some(ready))?;
        self.entries.push(process);
        Some(())
    }

    fn spawn(
        &self,
        name: String,
        role: &'static str,
        text: &str,
        address: SocketAddr,
        ready: Option<SocketAddr>,
    ) -> Option<Process> {
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text).ok()?;
        let child = run(role, &settings, &self.folder.join(format!("{name}.log")))?;
        Some(Process {
            name,
            role,
            settings,
            child,
            address,
            ready,
        })
    }

    fn wait_ready(&mut self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            let is_ready = |entry: &Process| {
                let ready = entry.ready.expect("an entry has a readiness address");
                let second = Duration::from_secs(1);
                let answer = http::call(ready, "GET", "/v1/ready", &[], "", second);
                answer.is_some_and(|(status, _)| status == 200)
            };
            if self.entries.iter().all(is_ready) && self.store.get("tq/owner").is_some() {
                // The owner opens its sessions, and the workers announce themselves.
                thread::sleep(Duration::from_secs(4));
                self.record.write("the deployment is ready");
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn client(&self) -> Client {
        Client {
            addresses: self.entries.iter().map(|entry| entry.address).collect(),
            record: self.record.clone(),
        }
    }

    pub fn submit(&self, id: &str, job: &Json) -> bool {
        self.client().submit(id, job)
    }

    /// Returns the state of a job as a client sees it, or the status of the answer.
    pub fn state(&self, entry: usize, id: &str) -> String {
        let (status, body) = self.client().call(entry, "GET", id, "");
        let state = body.get("state").as_str();
        if state.is_empty() {
            status.to_string()
        } else {
            state.to_owned()
        }
    }

    /// Keeps the logs of the processes in a folder.
    pub fn keep_logs(&self, to: &Path) {
        for process in self.entries.iter().chain(&self.companions) {
            let name = format!("{}.log", process.name);
            let _ = fs::copy(self.folder.join(&name), to.join(&name));
        }
    }
}

impl Client {
    /// Sends a client's request to an entry.
    pub fn call(&self, entry: usize, method: &str, id: &str, body: &str) -> (u16, Json) {
        let address = self.addresses[entry];
        let headers = [("Host", HOST), ("X-Deadline-Ms", "3000")];
        let wait = Duration::from_secs(3);
        let answer = http::call(
            address,
            method,
            &format!("/plans/{id}"),
            &headers,
            body,
            wait,
        );
        let (status, text) = answer.unwrap_or((0, String::new()));
        (status, Json::parse(&text).unwrap_or(Json::Null))
    }

    /// Submits a job, again after no answer or a refusal, and returns whether it was accepted.
    pub fn submit(&self, id: &str, job: &Json) -> bool {
        for attempt in 0..5 {
            let entry = attempt % self.addresses.len();
            let (status, _) = self.call(entry, "POST", id, &job.print());
            self.record
                .write(&format!("client: POST {id} at {entry}: {status}"));
            if (200..300).contains(&status) {
                return true;
            }
            thread::sleep(Duration::from_millis(300));
        }
        false
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for process in self.entries.iter_mut().chain(&mut self.companions) {
            process.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Process {
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args([signal, &id]).status();
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn restart(&mut self) {
        let log = self.settings.with_extension("log");
        if let Some(child) = run(self.role, &self.settings, &log) {
            self.child = child;
        }
    }

    /// Returns the resident memory in megabytes.
    pub fn memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let value = line.and_then(|line| line.split_whitespace().nth(1));
        value.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0) / 1_024
    }
}

fn run(role: &str, settings: &Path, log: &Path) -> Option<Child> {
    let log = fs::File::options()
        .create(true)
        .append(true)
        .open(log)
        .ok()?;
    Command::new(PROGRAM)
        .arg(role)
        .env("TOUCANQUAY_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(Stdio::from(log))
        .stderr(Stdio::null())
        .spawn()
        .ok()
}

pub fn configuration(version: u64) -> String {
    let route = object([
        ("name", "plans".into()),
        ("host", HOST.into()),
        ("prefix", "/plans/".into()),
        ("kind", "non_idempotent".into()),
        ("timeoutMs", 3_000_u64.into()),
        ("sloMs", 1_000_u64.into()),
        ("priority", 0_u64.into()),
        ("service", "desk".into()),
        ("maxAttempts", 2_u64.into()),
        ("stretch", 2_u64.into()),
    ]);
    let service = object([("name", "desk".into()), ("enforcesCapacity", false.into())]);
    object([
        ("version", version.into()),
        ("routes", Json::List(vec![route])),
        ("services", Json::List(vec![service])),
        ("limits", object([("maxBodyBytes", 262_144_u64.into())])),
    ])
    .print()
}

/// Returns a loopback address that is free now. Ports of outgoing connections are higher.
fn free_address() -> Option<SocketAddr> {
    static NEXT: std::sync::atomic::AtomicU16 = std::sync::atomic::AtomicU16::new(0);
    let base = 12_000 + (std::process::id() % 180) as u16 * 100;
    for _ in 0..400 {
        let offset = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let port = base.saturating_add(offset);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return Some(address);
        }
    }
    None
}
