//! A small deployment on loopback addresses: the project's programs as processes, started with the
//! commands of the deploy file, between the stand-ins.

use std::{
    fs::{self, File},
    io::{BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{clock::unix_micros, http, store::Store};

const PROGRAM: &str = "target/release/toucanquay-platform";
pub const SERVICE: &str = "desk";
pub const HOST: &str = "jobs.example";
/// Client deadline of the site files.
pub const DEADLINE_MS: u64 = 3_000;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGSTOP: i32 = 19;
const SIGKILL: i32 = 9;

/// Processes that were started and have not been waited for.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that a case has started, when it takes too long.
pub fn kill_children() {
    for id in CHILDREN.lock().expect("not poisoned").drain(..) {
        // They are children that have not been waited for, so that the ids are their own.
        unsafe { kill(id as i32, SIGKILL) };
    }
}

/// Kills a child and waits for its end.
fn end_child(mut child: Child) {
    let _ = child.kill();
    let _ = child.wait();
    CHILDREN
        .lock()
        .expect("not poisoned")
        .retain(|id| *id != child.id());
}

fn keep_child(child: Child) -> Child {
    CHILDREN.lock().expect("not poisoned").push(child.id());
    child
}

/// What a worker has written.
#[derive(Debug, Clone)]
pub struct Event {
    pub at: u64,
    pub worker: usize,
    pub word: String,
    pub task: String,
    pub attempt: u64,
    pub rest: String,
}

/// What has happened so far, which becomes `record.txt`.
#[derive(Debug, Clone)]
pub struct Record {
    begun: u64,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
    events: Arc<Mutex<Vec<Event>>>,
}

impl Record {
    fn new() -> Self {
        Self {
            begun: unix_micros(),
            lines: Arc::default(),
            events: Arc::default(),
        }
    }

    pub fn note(&self, line: impl Into<String>) {
        self.note_at(unix_micros(), line.into());
    }

    fn note_at(&self, at: u64, line: String) {
        self.lines.lock().expect("not poisoned").push((at, line));
    }

    /// Returns the workers' events so far in the order of their times.
    pub fn events(&self) -> Vec<Event> {
        let mut events = self.events.lock().expect("not poisoned").clone();
        events.sort_by_key(|event| event.at);
        events
    }

    /// Returns a time in seconds since the beginning.
    pub fn seconds(&self, at: u64) -> f64 {
        (at as f64 - self.begun as f64) / 1e6
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().expect("not poisoned").clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{:9.3} s  {line}\n", self.seconds(*at)))
            .collect();
        let _ = fs::write(path, text);
    }
}

/// What a deployment consists of.
#[derive(Debug, Clone)]
pub struct Shape {
    pub entries: usize,
    pub workers: usize,
    pub cpu: u64,
    pub mem_mb: u64,
    pub max_attempts: u64,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            entries: 3,
            workers: 4,
            cpu: 16_000,
            mem_mb: 64_000,
            max_attempts: 3,
        }
    }
}

/// A running deployment. Its processes are killed when it is dropped.
pub struct Cluster {
    pub record: Record,
    pub store: Store,
    shape: Shape,
    network: (u8, u8),
    folder: PathBuf,
    entries: Vec<Option<Child>>,
    companions: Vec<Option<Child>>,
    workers: Vec<Option<Child>>,
}

impl Cluster {
    pub fn start(shape: Shape) -> std::io::Result<Self> {
        let network = free_network()?;
        let folder = std::env::temp_dir().join(format!("toucanquay-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::start(address(network, 1, 8169))?;
        store.put("op/config", &configuration(1, shape.max_attempts));
        let mut cluster = Self {
            record: Record::new(),
            store,
            network,
            folder,
            entries: Vec::new(),
            companions: Vec::new(),
            workers: Vec::new(),
            shape,
        };
        for index in 0..cluster.shape.entries {
            cluster.entries.push(None);
            cluster.start_entry(index)?;
        }
        for index in 0..cluster.shape.workers {
            cluster.companions.push(None);
            cluster.workers.push(None);
            cluster.start_companion(index)?;
            cluster.start_worker(index)?;
        }
        Ok(cluster)
    }

    fn entry_ip(&self, index: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network.0, self.network.1, 11 + index as u8)
    }

    fn side_ip(&self, index: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network.0, self.network.1, 51 + index as u8)
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.entry_ip(index), 8161))
    }

    /// Address for heartbeats of the worker on a side machine.
    pub fn control(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.side_ip(index), 8166))
    }

    pub fn start_entry(&mut self, index: usize) -> std::io::Result<()> {
        let ip = self.entry_ip(index);
        let settings = format!(
            "name = \"front-z1-{n}\"\nlisten = \"{ip}:7720\"\nstore = \"{store}\"\n\
             metrics = \"{ip}:9464\"\n\n[entry]\nclients = \"{ip}:8161\"\nready = \"{ip}:8167\"\n\
             processors = 0.25\nlink_mbps = 1000.0\nconfiguration_ms = 2000\n",
            n = index + 1,
            store = address(self.network, 1, 8169),
        );
        self.entries[index] = Some(self.spawn("entry", index, &settings)?);
        self.record.note(format!("entry {index} started"));
        Ok(())
    }

    pub fn start_companion(&mut self, index: usize) -> std::io::Result<()> {
        let ip = self.side_ip(index);
        let settings = format!(
            "name = \"side-z1-{n}\"\nlisten = \"{ip}:7720\"\nstore = \"{store}\"\n\
             metrics = \"{ip}:9464\"\n\n[companion]\nheartbeats = \"{ip}:8166\"\n\
             worker = \"{ip}:8080\"\npool = \"{SERVICE}\"\n",
            n = index + 1,
            store = address(self.network, 1, 8169),
        );
        self.companions[index] = Some(self.spawn("companion", index, &settings)?);
        self.record.note(format!("companion {index} started"));
        Ok(())
    }

    fn spawn(&self, role: &str, index: usize, settings: &str) -> std::io::Result<Child> {
        let path = self.folder.join(format!("{role}-{index}.toml"));
        fs::write(&path, settings)?;
        let log = self.folder.join(format!("{role}-{index}.log"));
        let log = File::options().create(true).append(true).open(log)?;
        Command::new(PROGRAM)
            .arg(role)
            .env("TOUCANQUAY_CONFIG", path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .map(keep_child)
    }

    pub fn start_worker(&mut self, index: usize) -> std::io::Result<()> {
        let ip = self.side_ip(index);
        let mut command = Command::new(std::env::current_exe()?);
        command.args(["worker", &format!("i-{index:08x}"), &format!("{ip}:8080")]);
        command.args([&format!("{ip}:8166"), SERVICE, &self.shape.cpu.to_string()]);
        command.arg(self.shape.mem_mb.to_string());
        let child = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn();
        let mut child = child.map(keep_child)?;
        let lines = BufReader::new(child.stdout.take().expect("it is piped"));
        let record = self.record.clone();
        thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                read_event(&record, index, &line);
            }
        });
        self.workers[index] = Some(child);
        Ok(())
    }

    /// Kills a worker, as in a crash. Its address refuses connections.
    pub fn crash_worker(&mut self, index: usize) {
        if let Some(child) = self.workers[index].take() {
            let at = unix_micros();
            end_child(child);
            self.note_crash(index, at, "crashes");
        }
    }

    /// Loses a worker for good without a sign: it is stopped rather than killed, so that calls to it
    /// hang and no heartbeat comes. Nothing that it ran is at work any more.
    pub fn silence_worker(&self, index: usize) {
        if let Some(child) = &self.workers[index] {
            // The process is a child that has not been waited for, so that the id is its own.
            unsafe { kill(child.id() as i32, SIGSTOP) };
            self.note_crash(index, unix_micros(), "is lost for good, and silent");
        }
    }

    fn note_crash(&self, index: usize, at: u64, what: &str) {
        let crash = Event {
            at,
            worker: index,
            word: "crash".to_owned(),
            task: String::new(),
            attempt: 0,
            rest: String::new(),
        };
        self.record.events.lock().expect("not poisoned").push(crash);
        self.record.note_at(at, format!("worker {index} {what}"));
    }

    /// Removes a side machine for good. Its worker ends, and its companion falls silent: it is
    /// stopped rather than killed, so that its connections hang, as those to a machine without power.
    pub fn remove_side(&mut self, index: usize) {
        if let Some(child) = &self.companions[index] {
            // The process is a child that has not been waited for, so that the id is its own.
            unsafe { kill(child.id() as i32, SIGSTOP) };
        }
        self.record
            .note(format!("side machine {index} is removed for good"));
        self.crash_worker(index);
    }

    /// Adds a side machine at another address.
    pub fn add_side(&mut self) -> std::io::Result<()> {
        let index = self.companions.len();
        self.companions.push(None);
        self.workers.push(None);
        self.record.note(format!("side machine {index} is added"));
        self.start_companion(index)?;
        self.start_worker(index)
    }

    /// Waits until the entries are ready and jobs can run.
    pub fn wait_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        let is_registered = || self.store.count("tq/host/") == self.shape.workers;
        let is_ready = |index| {
            let address = SocketAddr::from((self.entry_ip(index), 8167));
            let timeout = Duration::from_millis(500);
            let answer = http::call(address, ("GET", "/v1/ready"), &[], "", timeout);
            answer.is_ok_and(|(status, _)| status == 200)
        };
        while Instant::now() < until {
            if is_registered() && (0..self.shape.entries).all(is_ready) {
                // Lets the owner open its sessions and learn of the workers.
                thread::sleep(Duration::from_millis(2_500));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("the deployment didn't become ready".to_owned())
    }

    /// Sends a request of a client for a job, and notes it and its answer.
    pub fn request(
        &self,
        front: usize,
        method: &str,
        id: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let deadline = DEADLINE_MS.to_string();
        let headers = [("Host", HOST), ("X-Deadline-Ms", deadline.as_str())];
        let path = format!("/q/{id}");
        let timeout = Duration::from_millis(DEADLINE_MS);
        let answer = http::call(self.front(front), (method, &path), &headers, body, timeout);
        match &answer {
            Ok((status, text)) => {
                self.record
                    .note(format!("{method} {id} at entry {front}: {status} {text}"));
            }
            Err(cause) => self
                .record
                .note(format!("{method} {id} at entry {front}: {cause}")),
        }
        answer.ok()
    }

    /// Submits a job as the page's clients do: again, with the same id, after no answer, 502 or 504.
    pub fn submit(&self, id: &str, body: &str) -> Result<(), String> {
        for attempt in 0..5 {
            let answer = self.request(attempt % self.shape.entries, "POST", id, body);
            match answer.map(|(status, _)| status) {
                Some(200..=299) => return Ok(()),
                _ => thread::sleep(Duration::from_millis(300)),
            }
        }
        Err(format!("job {id} was not accepted"))
    }

    /// Returns the state of a job, or the status without one.
    pub fn state(&self, front: usize, id: &str) -> String {
        match self.request(front, "GET", id, "") {
            Some((200, body)) => {
                let body = crate::json::Json::parse(&body).unwrap_or(crate::json::Json::Null);
                body.get("state").text().to_owned()
            }
            Some((status, _)) => status.to_string(),
            None => "no answer".to_owned(),
        }
    }

    /// Waits for an event that a test looks for in all events so far.
    pub fn wait_event(&self, seconds: u64, is_wanted: impl Fn(&Event) -> bool) -> Option<Event> {
        let until = Instant::now() + Duration::from_secs(seconds);
        while Instant::now() < until {
            if let Some(event) = self.record.events().into_iter().find(&is_wanted) {
                return Some(event);
            }
            thread::sleep(Duration::from_millis(2));
        }
        None
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let children = [&mut self.entries, &mut self.companions, &mut self.workers];
        for child in children.into_iter().flatten() {
            if let Some(child) = child.take() {
                end_child(child);
            }
        }
        if let Ok(folder) = std::env::var("KEEP_LOGS") {
            let _ = fs::rename(&self.folder, folder);
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn read_event(record: &Record, worker: usize, line: &str) {
    let mut words = line.splitn(5, ' ');
    let Some(at) = words.next().and_then(|word| word.parse().ok()) else {
        return;
    };
    let word = words.next().unwrap_or_default().to_owned();
    let task = words.next().unwrap_or_default().to_owned();
    let attempt = words.next().and_then(|word| word.parse().ok()).unwrap_or(0);
    let rest = words.next().unwrap_or_default().to_owned();
    record.note_at(
        at,
        format!(
            "worker {worker}: {}",
            line.split_once(' ').map_or("", |(_, rest)| rest)
        ),
    );
    let event = Event {
        at,
        worker,
        word,
        task,
        attempt,
        rest,
    };
    record.events.lock().expect("not poisoned").push(event);
}

fn configuration(version: u64, max_attempts: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-q\",\"host\":\"{HOST}\",\
         \"prefix\":\"/q/\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"sloMs\":1000,\
         \"priority\":0,\"service\":\"{SERVICE}\",\"maxAttempts\":{max_attempts},\"stretch\":2.0}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/healthz\",\"maxConns\":64,\
         \"protocol\":\"h1\",\"tls\":false,\"enforcesCapacity\":false,\"standby\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}"
    )
}

fn address(network: (u8, u8), host: u8, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, network.0, network.1, host), port))
}

/// Returns a loopback network on which no process listens.
fn free_network() -> std::io::Result<(u8, u8)> {
    let seed = std::process::id();
    for step in 0..200 {
        let number = seed.wrapping_add(step * 7);
        let network = (10 + (number % 200) as u8, 1 + (number / 200 % 250) as u8);
        if TcpListener::bind(address(network, 1, 8169)).is_ok() {
            return Ok(network);
        }
    }
    Err(std::io::ErrorKind::AddrInUse.into())
}

/// Flushes what a case prints about its result.
pub fn say(line: &str) {
    println!("{line}");
    let _ = std::io::stdout().flush();
}
