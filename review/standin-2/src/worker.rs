//! Stand-in for a worker.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Answer, Request, Server},
    json::{Value, object},
    record::Record,
};

/// Longest lease, in milliseconds (`maxHoldMs`).
const LEASE_MS_MAX: u64 = 10_000;

/// Time that a stop takes (`stopGraceMs` is 900).
const STOP_TIME: Duration = Duration::from_millis(40);

/// Time after which a task that lasts is at work.
const STARTUP_TIME: Duration = Duration::from_millis(100);

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// What the tasks of a step do. It is part of the job's text, as `STEP:MS:CPU:MEM`, separated by
/// spaces; 0 ms for a task that lasts.
#[derive(Debug, Clone, Copy, Default)]
struct Behaviour {
    work_ms: u64,
    cpu: u64,
    memory_mb: u64,
}

fn behaviour(text: &str, step: &str) -> Behaviour {
    let mut steps = text
        .split(' ')
        .map(|part| part.split(':').collect::<Vec<_>>());
    let Some(fields) = steps.find(|fields| fields[0] == step) else {
        return Behaviour::default();
    };
    let number = |index: usize| {
        fields
            .get(index)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    };
    Behaviour {
        work_ms: number(1),
        cpu: number(2),
        memory_mb: number(3),
    }
}

/// Start of a task on a worker.
#[derive(Debug, Clone)]
pub struct Start {
    /// Seconds since the start of the case.
    pub at: f64,
    pub worker: String,
    pub task: String,
}

/// What all workers have run.
#[derive(Default)]
pub struct History {
    pub starts: Vec<Start>,
    /// Runs at work now, with their worker.
    pub running: Vec<(String, u64, String)>,
    /// Starts that brought a worker over its capacity.
    pub overloads: Vec<String>,
}

struct Run {
    behaviour: Behaviour,
    started_at: Instant,
    stop_at: Option<Instant>,
}

struct State {
    id: String,
    born: u64,
    started_at: Instant,
    is_up: bool,
    fence: u64,
    lease_until_ms: u64,
    runs: BTreeMap<(String, u64), Run>,
    /// Highest run of each task that was stopped or has ended here.
    closed: HashMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
}

impl State {
    fn new(id: String, born: u64) -> Self {
        Self {
            id,
            born,
            started_at: Instant::now(),
            is_up: true,
            fence: 0,
            lease_until_ms: 0,
            runs: BTreeMap::new(),
            closed: HashMap::new(),
            ends: Vec::new(),
            last_end: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.started_at.elapsed().as_millis() as u64
    }

    fn renew_lease(&mut self, deadline_ms: u64) {
        let longest = self.clock_ms() + LEASE_MS_MAX;
        self.lease_until_ms = self.lease_until_ms.max(deadline_ms.min(longest));
    }
}

/// Settings of a worker.
#[derive(Debug, Clone)]
pub struct Settings {
    pub name: String,
    pub service: String,
    pub cpu: u64,
    pub memory_mb: u64,
    pub labels: Vec<String>,
    /// Address of the companion's listener for heartbeats.
    pub heartbeats: SocketAddr,
}

/// A worker, through all its lives.
#[derive(Clone)]
pub struct Worker {
    pub settings: Settings,
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    server: Arc<Mutex<Option<Server>>>,
    history: Arc<Mutex<History>>,
    record: Record,
    sequence: Arc<AtomicU64>,
}

fn unix_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    now.as_millis() as u64
}

impl Worker {
    /// Creates a worker that isn't up yet.
    pub fn new(
        settings: Settings,
        address: SocketAddr,
        history: Arc<Mutex<History>>,
        record: Record,
    ) -> Self {
        let mut state = State::new(format!("i-{}", settings.name), 0);
        state.is_up = false;
        let worker = Self {
            settings,
            address,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            server: Arc::default(),
            history,
            record,
            sequence: Arc::default(),
        };
        let ticking = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                ticking.advance();
            }
        });
        worker
    }

    pub fn id(&self) -> String {
        self.shared.0.lock().unwrap().id.clone()
    }

    pub fn born(&self) -> u64 {
        self.shared.0.lock().unwrap().born
    }

    /// Begins a life. The first heartbeat follows after `announcement_delay`.
    pub fn begin(&self, announcement_delay: Duration) {
        self.begin_at(unix_ms(), announcement_delay);
    }

    /// Begins a life on a machine whose time of day is ahead.
    pub fn begin_ahead(&self, ahead: Duration, announcement_delay: Duration) {
        let born = unix_ms() + ahead.as_millis() as u64;
        self.begin_at(born, announcement_delay);
    }

    fn begin_at(&self, born: u64, announcement_delay: Duration) {
        {
            let mut state = self.shared.0.lock().unwrap();
            let id = state.id.clone();
            *state = State::new(id, born);
        }
        self.sequence.store(0, Ordering::SeqCst);
        let api = self.clone();
        let server = Server::start(self.address, move |request| api.answer(request));
        *self.server.lock().unwrap() = Some(server.expect("the worker's address is free"));
        self.record
            .write(format!("worker {} is up, born {born}", self.settings.name));
        let beating = self.clone();
        thread::spawn(move || {
            thread::sleep(announcement_delay);
            while beating.is_up() && beating.born() == born {
                beating.send_heartbeat();
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
    }

    /// Ends the process at once, with all that it runs.
    pub fn crash(&self) {
        let lost: Vec<(String, u64)> = {
            let mut state = self.shared.0.lock().unwrap();
            state.is_up = false;
            let lost = state.runs.keys().cloned().collect();
            state.runs.clear();
            state.ends.clear();
            lost
        };
        if let Some(server) = self.server.lock().unwrap().take() {
            server.close();
        }
        self.shared.1.notify_all();
        for (task, attempt) in lost {
            self.note_end(&task, attempt, "crash");
        }
        self.record
            .write(format!("worker {} has crashed", self.settings.name));
    }

    pub fn is_up(&self) -> bool {
        self.shared.0.lock().unwrap().is_up
    }

    /// Returns a heartbeat's body.
    pub fn heartbeat(&self) -> Value {
        let state = self.shared.0.lock().unwrap();
        let settings = &self.settings;
        let labels = settings
            .labels
            .iter()
            .map(|label| label.as_str().into())
            .collect::<Vec<_>>();
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        object([
            ("service", settings.service.as_str().into()),
            ("addr", self.address.to_string().into()),
            ("zone", "zone-a".into()),
            ("version", "v1".into()),
            ("slots", 8.into()),
            ("state", "ready".into()),
            ("coldLeftMs", 0.into()),
            (
                "capacity",
                object([
                    ("cpu", settings.cpu.into()),
                    ("memMb", settings.memory_mb.into()),
                    ("gpu", 0.into()),
                ]),
            ),
            ("labels", labels.into()),
            ("clockMs", state.clock_ms().into()),
            ("seq", sequence.into()),
            ("born", state.born.into()),
        ])
    }

    fn send_heartbeat(&self) {
        let body = self.heartbeat().to_string();
        self.send_to_companion(&body);
    }

    /// Sends a body as a heartbeat to the companion. Returns the status.
    pub fn send_to_companion(&self, body: &str) -> Option<u16> {
        let path = format!("/v1/instances/{}/heartbeat", self.id());
        let sent = http::call(
            self.settings.heartbeats,
            "POST",
            &path,
            &[],
            body,
            Duration::from_millis(1_000),
        );
        sent.ok().map(|(status, _)| status)
    }

    fn answer(&self, request: &Request) -> Answer {
        let target = request.header("X-Target-Instance");
        let body = Value::parse(&request.body).unwrap_or(Value::Null);
        if target.is_some_and(|target| target != self.id()) {
            return self.reply(421, None);
        }
        let fence = body.get("fence").integer().unwrap_or(0);
        {
            let mut state = self.shared.0.lock().unwrap();
            if fence < state.fence {
                drop(state);
                return self.reply(409, Some("fence"));
            }
            state.fence = fence;
        }
        match request.path.as_str() {
            "/v1/run-start" => self.start(&body),
            "/v1/run-stop" => self.stop(&body),
            "/v1/hold" => self.hold(&body),
            "/v1/pace" => self.reply(200, None),
            _ => self.reply(404, None),
        }
    }

    fn reply(&self, status: u16, reason: Option<&str>) -> Answer {
        let state = self.shared.0.lock().unwrap();
        let mut fields = vec![
            ("clockMs".to_owned(), state.clock_ms().into()),
            ("born".to_owned(), state.born.into()),
        ];
        fields.extend(reason.map(|reason| ("reason".to_owned(), reason.into())));
        Answer::Send(status, Value::Object(fields).to_string())
    }

    fn start(&self, body: &Value) -> Answer {
        let (Some(task), Some(attempt)) = (body.get("task").text(), body.get("attempt").integer())
        else {
            return self.reply(400, None);
        };
        let deadline_ms = body.get("deadlineMs").integer().unwrap_or(0);
        let text = body.get("spec").text().unwrap_or_default();
        let key = (task.to_owned(), attempt);
        let step = task.split('.').nth(2).unwrap_or_default();
        let behaviour = behaviour(text, step);
        {
            let mut state = self.shared.0.lock().unwrap();
            if deadline_ms <= state.clock_ms() {
                drop(state);
                return self.reply(409, Some("late"));
            }
            state.renew_lease(deadline_ms);
            if state.runs.contains_key(&key) {
                drop(state);
                return self.reply(200, None);
            }
            if state
                .closed
                .get(task)
                .is_some_and(|closed| attempt <= *closed)
            {
                drop(state);
                return self.reply(409, Some("old"));
            }
            let run = Run {
                behaviour,
                started_at: Instant::now(),
                stop_at: None,
            };
            state.runs.insert(key, run);
            let runs = state.runs.values();
            let used = runs.fold((0, 0), |(cpu, memory), run| {
                (cpu + run.behaviour.cpu, memory + run.behaviour.memory_mb)
            });
            drop(state);
            self.note_start(task, attempt, used);
        }
        self.reply(200, None)
    }

    fn note_start(&self, task: &str, attempt: u64, (cpu, memory_mb): (u64, u64)) {
        let name = &self.settings.name;
        let at = self.record.seconds();
        self.record
            .write(format!("start {task} run {attempt} on {name}"));
        let mut history = self.history.lock().unwrap();
        if cpu > self.settings.cpu || memory_mb > self.settings.memory_mb {
            let text = format!(
                "{task} run {attempt} on {name} at {at:.3} s: {cpu} of {} thousandths of a core, \
                 {memory_mb} of {} MB",
                self.settings.cpu, self.settings.memory_mb,
            );
            self.record.write(format!("OVER CAPACITY {text}"));
            history.overloads.push(text);
        }
        history
            .running
            .push((task.to_owned(), attempt, name.clone()));
        history.starts.push(Start {
            at,
            worker: name.clone(),
            task: task.to_owned(),
        });
    }

    fn note_end(&self, task: &str, attempt: u64, how: &str) {
        let name = &self.settings.name;
        self.record
            .write(format!("end {task} run {attempt} on {name}: {how}"));
        let mut history = self.history.lock().unwrap();
        history
            .running
            .retain(|(other, run, worker)| !(other == task && *run == attempt && worker == name));
    }

    fn stop(&self, body: &Value) -> Answer {
        let task = body.get("task").text().unwrap_or_default().to_owned();
        let attempt = body.get("attempt").integer().unwrap_or(0);
        {
            let mut state = self.shared.0.lock().unwrap();
            match state.runs.get_mut(&(task.clone(), attempt)) {
                Some(run) => {
                    run.stop_at.get_or_insert(Instant::now() + STOP_TIME);
                }
                None => {
                    let closed = state.closed.entry(task).or_default();
                    *closed = attempt.max(*closed);
                }
            }
        }
        self.reply(200, None)
    }

    fn hold(&self, body: &Value) -> Answer {
        let wait = Duration::from_millis(body.get("waitMs").integer().unwrap_or(0));
        let deadline = Instant::now() + wait;
        let seen = body.get("lastSeen").integer().unwrap_or(0);
        let mut state = self.shared.0.lock().unwrap();
        if let Some(deadline_ms) = body.get("deadlineMs").integer() {
            state.renew_lease(deadline_ms);
        }
        state.ends.retain(|(number, ..)| *number > seen);
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if !state.ends.is_empty() || left.is_zero() || !state.is_up {
                break;
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
        let running = state.runs.iter().map(|((task, attempt), run)| {
            let percent = run.percent();
            Value::List(vec![
                task.as_str().into(),
                (*attempt).into(),
                "".into(),
                percent.into(),
                run.behaviour.cpu.into(),
            ])
        });
        let ends = state
            .ends
            .iter()
            .take(500)
            .map(|(number, task, attempt, how)| {
                Value::List(vec![
                    (*number).into(),
                    task.as_str().into(),
                    (*attempt).into(),
                    (*how).into(),
                    "".into(),
                ])
            });
        let body = object([
            ("clockMs", state.clock_ms().into()),
            ("born", state.born.into()),
            ("running", running.collect::<Vec<_>>().into()),
            ("finished", ends.collect::<Vec<_>>().into()),
        ]);
        Answer::Send(200, body.to_string())
    }

    /// Ends the runs whose time has come.
    fn advance(&self) {
        let mut ended: Vec<(String, u64, &'static str)> = Vec::new();
        {
            let mut state = self.shared.0.lock().unwrap();
            if !state.is_up {
                return;
            }
            let has_lapsed = state.clock_ms() >= state.lease_until_ms;
            let now = Instant::now();
            for ((task, attempt), run) in &state.runs {
                if let Some(how) = run.ending(has_lapsed, now) {
                    ended.push((task.clone(), *attempt, how));
                }
            }
            for (task, attempt, how) in &ended {
                state.runs.remove(&(task.clone(), *attempt));
                let closed = state.closed.entry(task.clone()).or_default();
                *closed = (*attempt).max(*closed);
                state.last_end += 1;
                let number = state.last_end;
                state.ends.push((number, task.clone(), *attempt, how));
            }
        }
        for (task, attempt, how) in &ended {
            self.note_end(task, *attempt, how);
        }
        if !ended.is_empty() {
            self.shared.1.notify_all();
        }
    }
}

impl Run {
    fn percent(&self) -> u64 {
        if self.behaviour.work_ms == 0 {
            let is_at_work = self.started_at.elapsed() >= STARTUP_TIME;
            return if is_at_work { 100 } else { 0 };
        }
        let done_ms = self.started_at.elapsed().as_millis() as u64;
        (done_ms * 100 / self.behaviour.work_ms).min(99)
    }

    fn ending(&self, has_lapsed: bool, now: Instant) -> Option<&'static str> {
        if has_lapsed {
            return Some("lapsed");
        }
        if self.stop_at.is_some_and(|at| now >= at) {
            return Some("stopped");
        }
        let done_ms = self.started_at.elapsed().as_millis() as u64;
        (self.behaviour.work_ms > 0 && done_ms >= self.behaviour.work_ms).then_some("done")
    }
}
