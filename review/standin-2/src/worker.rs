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

/// Time after which a gang's members end `alone` (`gangTimeoutMs`).
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Interval of checkpoints in milliseconds of work (`checkpointS`).
const CHECKPOINT_MS: u64 = 1_000;

/// Time that a start from a checkpoint takes (`restoreMs`).
const RESTORE_TIME: Duration = Duration::from_millis(100);

/// Time after which a task that lasts is at work.
const STARTUP_TIME: Duration = Duration::from_millis(100);

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// What the tasks of a step do. It is part of the job's text, as `STEP:MS:CPU:MEM:FLAGS`, separated
/// by spaces; 0 ms for a task that lasts. Flags: `g` and the number of members for a gang, `c` for
/// checkpoints.
#[derive(Debug, Clone, Copy, Default)]
struct Behaviour {
    work_ms: u64,
    cpu: u64,
    memory_mb: u64,
    gang_members: usize,
    has_checkpoints: bool,
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
    let flags = fields.get(4).copied().unwrap_or_default();
    let members: String = flags.chars().filter(char::is_ascii_digit).collect();
    Behaviour {
        work_ms: number(1),
        cpu: number(2),
        memory_mb: number(3),
        gang_members: members.parse().unwrap_or(0),
        has_checkpoints: flags.contains('c'),
    }
}

/// Start of a task on a worker.
#[derive(Debug, Clone)]
pub struct Start {
    pub at: f64,
    pub worker: String,
    pub task: String,
    pub attempt: u64,
    pub checkpoint: String,
}

/// End of a run on a worker.
#[derive(Debug, Clone)]
pub struct Ended {
    pub task: String,
    pub how: String,
}

/// What all workers have run, and the gangs whose members are present.
#[derive(Default)]
pub struct History {
    pub starts: Vec<Start>,
    pub ends: Vec<Ended>,
    /// Runs at work now, with their worker.
    pub running: Vec<(String, u64, String)>,
    /// Starts of a task of which another run was at work on a worker that was up.
    pub overlaps: Vec<String>,
    /// Starts that brought a worker over its capacity.
    pub overloads: Vec<String>,
    gangs: HashMap<(String, u64), Gang>,
}

#[derive(Default)]
struct Gang {
    present: usize,
    /// When all members were present.
    complete_at: Option<Instant>,
    /// Whether a member has ended otherwise than `done`.
    is_broken: bool,
}

struct Run {
    behaviour: Behaviour,
    started_at: Instant,
    /// Work that a checkpoint has saved, in milliseconds.
    saved_ms: u64,
    checkpoint: String,
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
    ends: Vec<(u64, String, u64, &'static str, String)>,
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

/// Called after each start, with the task's name and the run.
type StartHook = dyn Fn(&Worker, &str, u64) + Send + Sync;

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
    on_start: Arc<Mutex<Option<Arc<StartHook>>>>,
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
            on_start: Arc::default(),
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

    /// Sets what happens after each start.
    pub fn on_start(&self, hook: impl Fn(&Worker, &str, u64) + Send + Sync + 'static) {
        *self.on_start.lock().unwrap() = Some(Arc::new(hook));
    }

    pub fn id(&self) -> String {
        self.shared.0.lock().unwrap().id.clone()
    }

    pub fn born(&self) -> u64 {
        self.shared.0.lock().unwrap().born
    }

    /// Begins a life. The first heartbeat follows after `announcement_delay`.
    pub fn begin(&self, announcement_delay: Duration) {
        let born = unix_ms();
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
        let checkpoint = body.get("checkpoint").text().unwrap_or_default().to_owned();
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
            let saved_ms = checkpoint
                .get(..8)
                .and_then(|text| u64::from_str_radix(text, 16).ok());
            let run = Run {
                behaviour,
                started_at: Instant::now(),
                saved_ms: saved_ms.unwrap_or(0),
                checkpoint: checkpoint.clone(),
                stop_at: None,
            };
            state.runs.insert(key, run);
            let runs = state.runs.values();
            let used = runs.fold((0, 0), |(cpu, memory), run| {
                (cpu + run.behaviour.cpu, memory + run.behaviour.memory_mb)
            });
            drop(state);
            self.note_start(task, attempt, &checkpoint, behaviour, used);
        }
        let hook = self.on_start.lock().unwrap().clone();
        if let Some(hook) = hook {
            hook(self, task, attempt);
        }
        self.reply(200, None)
    }

    fn note_start(
        &self,
        task: &str,
        attempt: u64,
        checkpoint: &str,
        behaviour: Behaviour,
        (cpu, memory_mb): (u64, u64),
    ) {
        let name = &self.settings.name;
        let at = self.record.seconds();
        self.record.write(format!(
            "start {task} run {attempt} on {name} checkpoint '{checkpoint}'"
        ));
        let mut history = self.history.lock().unwrap();
        let other = history.running.iter().find(|(other, ..)| other == task);
        if let Some((_, other_attempt, other_worker)) = other.cloned() {
            let text = format!(
                "{task}: run {attempt} starts on {name} at {at:.3} s while run {other_attempt} is \
                 at work on {other_worker}"
            );
            self.record.write(format!("OVERLAP {text}"));
            history.overlaps.push(text);
        }
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
            attempt,
            checkpoint: checkpoint.to_owned(),
        });
        if behaviour.gang_members > 0 {
            let gang = history.gangs.entry((gang_name(task), attempt)).or_default();
            gang.present += 1;
            if gang.present == behaviour.gang_members {
                gang.complete_at = Some(Instant::now());
            }
        }
    }

    fn note_end(&self, task: &str, attempt: u64, how: &str) {
        let name = &self.settings.name;
        self.record
            .write(format!("end {task} run {attempt} on {name}: {how}"));
        let mut history = self.history.lock().unwrap();
        history
            .running
            .retain(|(other, run, worker)| !(other == task && *run == attempt && worker == name));
        history.ends.push(Ended {
            task: task.to_owned(),
            how: how.to_owned(),
        });
        if how != "done"
            && let Some(gang) = history.gangs.get_mut(&(gang_name(task), attempt))
        {
            gang.is_broken = true;
        }
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
                run.checkpoint.as_str().into(),
                percent.into(),
                run.behaviour.cpu.into(),
            ])
        });
        let ends = state
            .ends
            .iter()
            .take(500)
            .map(|(number, task, attempt, how, saved)| {
                Value::List(vec![
                    (*number).into(),
                    task.as_str().into(),
                    (*attempt).into(),
                    (*how).into(),
                    saved.as_str().into(),
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

    /// Ends the runs whose time has come, and renews checkpoints.
    fn advance(&self) {
        let mut ended: Vec<(String, u64, &'static str, String)> = Vec::new();
        {
            let history = self.history.lock().unwrap();
            let mut state = self.shared.0.lock().unwrap();
            if !state.is_up {
                return;
            }
            let has_lapsed = state.clock_ms() >= state.lease_until_ms;
            let now = Instant::now();
            for ((task, attempt), run) in &mut state.runs {
                let gang = history.gangs.get(&(gang_name(task), *attempt));
                run.save(gang, task);
                let how = run.ending(gang, has_lapsed, now);
                if let Some(how) = how {
                    ended.push((task.clone(), *attempt, how, run.checkpoint.clone()));
                }
            }
            for (task, attempt, how, saved) in &ended {
                state.runs.remove(&(task.clone(), *attempt));
                let closed = state.closed.entry(task.clone()).or_default();
                *closed = (*attempt).max(*closed);
                state.last_end += 1;
                let number = state.last_end;
                state
                    .ends
                    .push((number, task.clone(), *attempt, how, saved.clone()));
            }
        }
        for (task, attempt, how, _) in &ended {
            self.note_end(task, *attempt, how);
        }
        if !ended.is_empty() {
            self.shared.1.notify_all();
        }
    }
}

/// Returns the name of a task's step, which all members of a gang share.
fn gang_name(task: &str) -> String {
    task.rsplit_once('.')
        .map_or(task, |(step, _)| step)
        .to_owned()
}

impl Run {
    fn worked(&self, gang: Option<&Gang>) -> Duration {
        let began = match self.behaviour.gang_members {
            0 => self.started_at,
            _ => match gang.and_then(|gang| gang.complete_at) {
                Some(at) => at,
                None => return Duration::ZERO,
            },
        };
        let delay = if self.saved_ms > 0 {
            RESTORE_TIME
        } else {
            Duration::ZERO
        };
        began.elapsed().saturating_sub(delay)
    }

    fn percent(&self) -> u64 {
        if self.behaviour.work_ms == 0 {
            let is_at_work = self.started_at.elapsed() >= STARTUP_TIME;
            return if is_at_work { 100 } else { 0 };
        }
        let done_ms = self.saved_ms + self.started_at.elapsed().as_millis() as u64;
        (done_ms * 100 / self.behaviour.work_ms).min(99)
    }

    /// Renews the checkpoint after each interval of work. Its end tells the members of a gang apart.
    fn save(&mut self, gang: Option<&Gang>, task: &str) {
        if !self.behaviour.has_checkpoints {
            return;
        }
        let done_ms = self.saved_ms + self.worked(gang).as_millis() as u64;
        let saved_ms = done_ms / CHECKPOINT_MS * CHECKPOINT_MS;
        let known = self
            .checkpoint
            .get(..8)
            .and_then(|text| u64::from_str_radix(text, 16).ok());
        if saved_ms > known.unwrap_or(0) {
            let member = task.bytes().fold(7_u32, |hash, byte| {
                hash.wrapping_mul(31).wrapping_add(u32::from(byte))
            });
            self.checkpoint = format!("{saved_ms:08x}{member:08x}");
        }
    }

    fn ending(&self, gang: Option<&Gang>, has_lapsed: bool, now: Instant) -> Option<&'static str> {
        if has_lapsed {
            return Some("lapsed");
        }
        if self.stop_at.is_some_and(|at| now >= at) {
            return Some("stopped");
        }
        if self.behaviour.gang_members > 0 {
            let gang = gang?;
            if gang.is_broken {
                return Some("broken");
            }
            let is_alone = gang.complete_at.is_none() && self.started_at.elapsed() >= GANG_TIMEOUT;
            if is_alone {
                return Some("alone");
            }
            gang.complete_at?;
        }
        let done_ms = self.saved_ms + self.worked(gang).as_millis() as u64;
        (self.behaviour.work_ms > 0 && done_ms >= self.behaviour.work_ms).then_some("done")
    }
}
