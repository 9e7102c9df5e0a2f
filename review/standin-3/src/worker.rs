//! Stand-ins for the platform's workers, which share one state so that gangs can meet.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Request, Server},
    json::{Json, object},
    record::Record,
};

const HEARTBEAT: Duration = Duration::from_millis(1_500);
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);
const HOLD_MS_MAX: u64 = 10_000;
const CHECKPOINT: Duration = Duration::from_millis(500);
/// Time that a stop takes; at most `stopGraceMs`, 200 ms.
const STOP: Duration = Duration::from_millis(100);
/// Time within which a 2xx acknowledges a heartbeat or a deregistration.
const ACKNOWLEDGEMENT: Duration = Duration::from_millis(1_000);
const ENDS_LISTED_MAX: usize = 500;

/// What the application of the workers knows of a step.
#[derive(Debug, Clone)]
pub struct Program {
    /// Number of tasks.
    pub count: u64,
    pub is_gang: bool,
    pub is_perpetual: bool,
    pub has_checkpoints: bool,
    pub work: Duration,
}

/// A run on a worker.
#[derive(Debug, Clone)]
struct Run {
    task: String,
    program: Option<Arc<Program>>,
    attempt: u64,
    /// Checkpoint that its start carried.
    carried: String,
    /// Last checkpoint.
    saved: String,
    begun_at: Instant,
    /// Since when it works, if it does.
    works_since: Option<Instant>,
    /// Work that the carried checkpoint stands for.
    restored: Duration,
    next_checkpoint_at: Instant,
    stops_at: Option<Instant>,
}

#[derive(Debug, Clone)]
struct End {
    number: u64,
    task: String,
    attempt: u64,
    how: &'static str,
    saved: String,
}

/// A worker, of one life after the other at the same address.
struct Worker {
    name: String,
    id: String,
    address: SocketAddr,
    /// Address of its companion for heartbeats.
    heartbeats: SocketAddr,
    server: Option<Server>,
    life: u64,
    born: u64,
    started_at: Instant,
    /// Time at which it leaves, if it drains.
    leaves_at: Option<Instant>,
    sequence: u64,
    fence: u64,
    lease_until_ms: u64,
    /// When its lease was last seen to be over.
    lapsed_at: Option<Instant>,
    /// Highest run of each task that was stopped or ended here.
    past: BTreeMap<String, u64>,
    running: Vec<Run>,
    finished: Vec<End>,
    last_number: u64,
}

/// A run that was ever started, for the checks.
#[derive(Debug, Clone)]
pub struct Started {
    pub task: String,
    pub attempt: u64,
    pub worker: String,
    pub checkpoint: String,
    pub at: Instant,
    pub ended_at: Option<Instant>,
    pub how: &'static str,
    /// When its end was taken note of.
    pub noted_at: Option<Instant>,
    /// Whether the worker carried out the start late.
    pub is_late: bool,
    pub spec: String,
}

#[derive(Default)]
pub struct State {
    workers: Vec<Worker>,
    /// Programs by job and step.
    programs: HashMap<(String, u64), Arc<Program>>,
    /// Tasks that fail once, after this much work.
    failures: BTreeMap<String, Duration>,
    /// Share of the orders that are carried out late, in thousandths.
    pub late_permille: u64,
    pub random: u64,
    /// Position in `started` of the last run of a task on a worker.
    positions: HashMap<(String, u64, String), usize>,
    pub started: Vec<Started>,
}

/// The workers of a deployment. Clones share them.
#[derive(Clone)]
pub struct Workers {
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Workers {
    pub fn new(record: Record) -> Self {
        let workers = Self {
            state: Arc::default(),
            record,
        };
        let ticking = workers.clone();
        thread::spawn(move || {
            loop {
                let begun_at = Instant::now();
                ticking.lock().advance(&ticking.record);
                // Thousands of runs take some time.
                let pause = begun_at.elapsed() * 4;
                thread::sleep(pause.max(Duration::from_millis(5)));
            }
        });
        workers
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic")
    }

    /// Tells the application what the tasks of a step do.
    pub fn know(&self, job: &str, step: u64, program: Program) {
        self.lock()
            .programs
            .insert((job.to_owned(), step), Arc::new(program));
    }

    /// Lets a task fail once, through its own fault, after some work.
    pub fn fail_once(&self, task: &str, after: Duration) {
        self.lock().failures.insert(task.to_owned(), after);
    }

    /// Starts a worker at a free address and returns its index.
    pub fn add(&self, name: &str, heartbeats: SocketAddr) -> usize {
        let index = {
            let mut state = self.lock();
            state.workers.push(Worker {
                name: name.to_owned(),
                id: format!("i-{name}"),
                address: SocketAddr::from(([127, 0, 0, 1], 0)),
                heartbeats,
                server: None,
                life: 0,
                born: 0,
                started_at: Instant::now(),
                leaves_at: None,
                sequence: 0,
                fence: 0,
                lease_until_ms: 0,
                lapsed_at: None,
                past: BTreeMap::new(),
                running: Vec::new(),
                finished: Vec::new(),
                last_number: 0,
            });
            state.workers.len() - 1
        };
        self.begin(index);
        index
    }

    pub fn address(&self, index: usize) -> SocketAddr {
        self.lock().workers[index].address
    }

    /// Begins a life of a worker at its address.
    pub fn begin(&self, index: usize) {
        let (served, address) = (self.clone(), self.address(index));
        let life = self.lock().workers[index].life + 1;
        let handler = Arc::new(move |request: &Request| served.respond(index, life, request));
        let server = Server::start(address, handler).expect("the address is free");
        {
            let mut state = self.lock();
            let worker = &mut state.workers[index];
            worker.address = server.address;
            worker.server = Some(server);
            worker.life = life;
            worker.born = unix_ms();
            worker.started_at = Instant::now();
            worker.leaves_at = None;
            worker.sequence = 0;
            worker.fence = 0;
            worker.lease_until_ms = 0;
            worker.lapsed_at = None;
            worker.past.clear();
            worker.running.clear();
            worker.finished.clear();
            worker.last_number = 0;
            self.record
                .write(&format!("{} begins life {life}", worker.name));
        }
        let beating = self.clone();
        thread::spawn(move || {
            while let Some(heartbeat) = beating.heartbeat(index, life) {
                let is_acknowledged = heartbeat.send();
                let pause = if is_acknowledged {
                    HEARTBEAT
                } else {
                    Duration::from_millis(100)
                };
                thread::sleep(pause);
            }
        });
    }

    /// Ends the life of a worker at once, with all that runs on it.
    pub fn end(&self, index: usize, why: &str) {
        let mut state = self.lock();
        let now = Instant::now();
        let worker = &mut state.workers[index];
        if let Some(server) = worker.server.take() {
            server.close();
        }
        let name = worker.name.clone();
        let lost = std::mem::take(&mut worker.running);
        worker.finished.clear();
        let tasks: Vec<String> = lost.iter().map(Run::label).collect();
        self.record
            .write(&format!("{name} {why}; lost: {}", tasks.join(" ")));
        for run in lost {
            state.record_end(&run, &name, now, "lost");
            state.break_gang(&run, &self.record);
        }
    }

    pub fn is_up(&self, index: usize) -> bool {
        self.lock().workers[index].server.is_some()
    }

    /// Returns the worker on which a task runs.
    pub fn worker_of(&self, task: &str) -> Option<usize> {
        let state = self.lock();
        let runs = |worker: &Worker| worker.running.iter().any(|run| run.task == task);
        state.workers.iter().position(runs)
    }

    /// Reports a worker as draining from now on, with this much time left. Returns once that is
    /// acknowledged.
    pub fn drain(&self, index: usize, left: Duration) -> bool {
        let life = {
            let mut state = self.lock();
            let worker = &mut state.workers[index];
            worker.leaves_at = Some(Instant::now() + left);
            self.record.write(&format!("{} drains", worker.name));
            worker.life
        };
        (0..10).any(|_| {
            let heartbeat = self.heartbeat(index, life);
            heartbeat.is_some_and(|heartbeat| heartbeat.send())
        })
    }

    /// Deregisters a worker and ends it: at once when that is acknowledged, otherwise once
    /// `patience` has passed.
    pub fn leave(&self, index: usize, patience: Duration) {
        let (heartbeats, id, born, name) = {
            let state = self.lock();
            let worker = &state.workers[index];
            let (id, name) = (worker.id.clone(), worker.name.clone());
            (worker.heartbeats, id, worker.born, name)
        };
        let sent_at = Instant::now();
        self.record
            .write(&format!("{name} sends its deregistration"));
        let path = format!("/v1/instances/{id}/deregister");
        let body = object([("born", born.into())]).print();
        let answer = http::call(heartbeats, "POST", &path, &[], &body, patience);
        let is_acknowledged = answer.is_some_and(|(status, _)| (200..300).contains(&status))
            && sent_at.elapsed() < ACKNOWLEDGEMENT;
        if !is_acknowledged {
            thread::sleep(patience.saturating_sub(sent_at.elapsed()));
        }
        let why = match is_acknowledged {
            true => "ends, its deregistration is acknowledged",
            false => "ends, no acknowledgement came within a second",
        };
        self.end(index, why);
    }

    fn heartbeat(&self, index: usize, life: u64) -> Option<Heartbeat> {
        let mut state = self.lock();
        let worker = &mut state.workers[index];
        if worker.server.is_none() || worker.life != life {
            return None;
        }
        worker.sequence += 1;
        let leaves_at = worker.leaves_at;
        let mut body = vec![
            ("service".to_owned(), "desk".into()),
            ("addr".to_owned(), worker.address.to_string().into()),
            ("zone".to_owned(), "a".into()),
            ("version".to_owned(), "v1".into()),
            ("slots".to_owned(), 8_u64.into()),
            (
                "state".to_owned(),
                if leaves_at.is_some() {
                    "draining"
                } else {
                    "ready"
                }
                .into(),
            ),
            ("coldLeftMs".to_owned(), 0_u64.into()),
            (
                "capacity".to_owned(),
                object([
                    ("cpu", 32_000_u64.into()),
                    ("memMb", 128_000_u64.into()),
                    ("gpu", 0_u64.into()),
                ]),
            ),
            (
                "labels".to_owned(),
                Json::List(labels(index).into_iter().map(Json::from).collect()),
            ),
            ("clockMs".to_owned(), worker.clock_ms().into()),
            ("born".to_owned(), worker.born.into()),
            ("seq".to_owned(), worker.sequence.into()),
        ];
        if let Some(at) = leaves_at {
            let left = at.saturating_duration_since(Instant::now());
            let left_ms = left.as_millis() as u64;
            body.push(("remainingMs".to_owned(), left_ms.into()));
        }
        Some(Heartbeat {
            to: worker.heartbeats,
            path: format!("/v1/instances/{}/heartbeat", worker.id),
            body: Json::Object(body).print(),
        })
    }

    fn respond(&self, index: usize, life: u64, request: &Request) -> Option<(u16, String)> {
        let call = Json::parse(&request.body).unwrap_or(Json::Null);
        let (status, mut fields) = {
            let state = self.lock();
            let worker = state.workers.get(index)?;
            if worker.server.is_none() && worker.life == life {
                return None;
            }
            let target = request.header("x-target-instance");
            if target.is_some_and(|target| target != worker.id) {
                (421, Vec::new())
            } else {
                drop(state);
                match request.path.as_str() {
                    "/v1/run-start" | "/v1/run-stop" if self.lock().is_order_late() => {
                        self.carry_out_late(index, life, &request.path, call);
                        return None;
                    }
                    "/v1/run-start" => self.start(index, &call, false),
                    "/v1/run-stop" => self.stop(index, &call),
                    "/v1/hold" => self.hold(index, life, &call)?,
                    "/v1/pace" => (200, Vec::new()),
                    _ => (404, Vec::new()),
                }
            }
        };
        let state = self.lock();
        let worker = &state.workers[index];
        fields.push(("clockMs".to_owned(), worker.clock_ms().into()));
        fields.push(("born".to_owned(), worker.born.into()));
        Some((status, Json::Object(fields).print()))
    }

    /// Leaves an order unanswered and carries it out 2 to 12 s later.
    fn carry_out_late(&self, index: usize, life: u64, path: &str, call: Json) {
        let delay_ms = 2_000 + self.lock().draw(10_000);
        let (later, path) = (self.clone(), path.to_owned());
        self.record.write(&format!(
            "{path} {} run {:#x} goes unanswered for {delay_ms} ms",
            call.get("task").as_str(),
            call.get("attempt").as_u64().unwrap_or(0)
        ));
        let carried_out = thread::spawn(move || {
            thread::sleep(Duration::from_millis(delay_ms));
            let is_same = {
                let state = later.lock();
                let worker = &state.workers[index];
                worker.life == life && worker.server.is_some()
            };
            if is_same && path == "/v1/run-start" {
                later.start(index, &call, true);
            } else if is_same {
                later.stop(index, &call);
            }
        });
        // The connection stays open, without an answer.
        let _ = carried_out.join();
    }

    fn start(&self, index: usize, call: &Json, is_late: bool) -> (u16, Vec<(String, Json)>) {
        let refuse = |reason: &str| (409, vec![("reason".to_owned(), reason.into())]);
        let task = call.get("task").as_str().to_owned();
        let attempt = call.get("attempt").as_u64().unwrap_or(0);
        let fence = call.get("fence").as_u64().unwrap_or(0);
        let deadline_ms = call.get("deadlineMs").as_u64().unwrap_or(0);
        let checkpoint = call.get("checkpoint").as_str().to_owned();
        let mut state = self.lock();
        let restored = work_of(&checkpoint);
        let program = state.program(&task);
        let worker = &mut state.workers[index];
        if fence < worker.fence {
            return refuse("fence");
        }
        worker.fence = fence;
        if deadline_ms <= worker.clock_ms() {
            return refuse("late");
        }
        worker.renew(deadline_ms);
        let is_there = |run: &Run| run.task == task && run.attempt == attempt;
        if worker.running.iter().any(is_there) {
            return (200, Vec::new());
        }
        if worker.past.get(&task).is_some_and(|past| attempt <= *past) {
            return refuse("old");
        }
        let now = Instant::now();
        worker.running.push(Run {
            program,
            task: task.clone(),
            attempt,
            carried: checkpoint.clone(),
            saved: checkpoint.clone(),
            begun_at: now,
            works_since: None,
            restored,
            next_checkpoint_at: now + CHECKPOINT,
            stops_at: None,
        });
        let name = worker.name.clone();
        self.record.write(&format!(
            "{name} starts {task} run {attempt:#x} fence {fence} checkpoint {checkpoint:?}"
        ));
        let key = (task.clone(), attempt, name.clone());
        let position = state.started.len();
        state.positions.insert(key, position);
        state.started.push(Started {
            task,
            attempt,
            worker: name,
            checkpoint,
            at: now,
            ended_at: None,
            how: "",
            noted_at: None,
            is_late,
            spec: call.get("spec").as_str().to_owned(),
        });
        (200, Vec::new())
    }

    fn stop(&self, index: usize, call: &Json) -> (u16, Vec<(String, Json)>) {
        let task = call.get("task").as_str().to_owned();
        let attempt = call.get("attempt").as_u64().unwrap_or(0);
        let fence = call.get("fence").as_u64().unwrap_or(0);
        let mut state = self.lock();
        let worker = &mut state.workers[index];
        if fence < worker.fence {
            return (409, vec![("reason".to_owned(), "fence".into())]);
        }
        worker.fence = fence;
        let past = worker.past.entry(task.clone()).or_default();
        *past = attempt.max(*past);
        let mut running = worker.running.iter_mut();
        if let Some(run) = running.find(|run| run.task == task && run.attempt == attempt) {
            run.stops_at.get_or_insert(Instant::now() + STOP);
            self.record
                .write(&format!("{} stops {}", worker.name, run.label()));
        }
        (200, Vec::new())
    }

    fn hold(&self, index: usize, life: u64, call: &Json) -> Option<(u16, Vec<(String, Json)>)> {
        let fence = call.get("fence").as_u64().unwrap_or(0);
        let last_seen = call.get("lastSeen").as_u64().unwrap_or(0);
        let wait_ms = call.get("waitMs").as_u64().unwrap_or(0).min(2_000);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        {
            let mut state = self.lock();
            let worker = &mut state.workers[index];
            if fence < worker.fence {
                return Some((409, vec![("reason".to_owned(), "fence".into())]));
            }
            worker.fence = fence;
            if let Some(deadline_ms) = call.get("deadlineMs").as_u64() {
                worker.renew(deadline_ms);
            }
            let seen = worker
                .finished
                .iter()
                .take_while(|end| end.number <= last_seen);
            let seen: Vec<(String, u64)> =
                seen.map(|end| (end.task.clone(), end.attempt)).collect();
            worker.finished.retain(|end| end.number > last_seen);
            let (name, lapsed_at) = (worker.name.clone(), worker.lapsed_at);
            for (task, attempt) in seen {
                state.note(&task, attempt, &name, lapsed_at);
            }
        }
        loop {
            {
                let state = self.lock();
                let worker = &state.workers[index];
                if worker.life != life || worker.server.is_none() {
                    return None;
                }
                if !worker.finished.is_empty() || Instant::now() >= deadline {
                    return Some((200, worker.lists()));
                }
            }
            thread::sleep(Duration::from_millis(4));
        }
    }
}

/// A heartbeat to send.
struct Heartbeat {
    to: SocketAddr,
    path: String,
    body: String,
}

impl Heartbeat {
    fn send(&self) -> bool {
        let answer = http::call(
            self.to,
            "POST",
            &self.path,
            &[],
            &self.body,
            ACKNOWLEDGEMENT,
        );
        answer.is_some_and(|(status, _)| (200..300).contains(&status))
    }
}

impl Run {
    fn label(&self) -> String {
        format!("{} run {:#x}", self.task, self.attempt)
    }

    fn worked(&self, now: Instant) -> Duration {
        let since = self.works_since.map_or(Duration::ZERO, |since| now - since);
        self.restored + since
    }
}

impl Worker {
    fn clock_ms(&self) -> u64 {
        480_000 + self.started_at.elapsed().as_millis() as u64
    }

    fn renew(&mut self, deadline_ms: u64) {
        let deadline_ms = deadline_ms.min(self.clock_ms() + HOLD_MS_MAX);
        self.lease_until_ms = self.lease_until_ms.max(deadline_ms);
    }

    fn lists(&self) -> Vec<(String, Json)> {
        let now = Instant::now();
        let running = self.running.iter().map(|run| {
            let program = run.program.clone();
            let percent = match &program {
                Some(program) if program.is_perpetual && run.works_since.is_some() => 100,
                Some(program) if !program.is_perpetual => {
                    let share = run.worked(now).as_secs_f64() / program.work.as_secs_f64();
                    (share * 100.0).clamp(0.0, 99.0) as u64
                }
                _ => 0,
            };
            Json::List(vec![
                run.task.as_str().into(),
                run.attempt.into(),
                run.saved.as_str().into(),
                percent.into(),
                0_u64.into(),
            ])
        });
        let finished = self.finished.iter().take(ENDS_LISTED_MAX).map(|end| {
            Json::List(vec![
                end.number.into(),
                end.task.as_str().into(),
                end.attempt.into(),
                end.how.into(),
                end.saved.as_str().into(),
            ])
        });
        vec![
            ("running".to_owned(), Json::List(running.collect())),
            ("finished".to_owned(), Json::List(finished.collect())),
        ]
    }
}

impl State {
    /// Returns the next number of the sequence, below a limit.
    pub fn draw(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 16) % below
    }

    fn is_order_late(&mut self) -> bool {
        self.late_permille > 0 && self.draw(1_000) < self.late_permille
    }

    /// Notes that `lastSeen` has reached an end, unless the worker's lease lapsed in between.
    fn note(&mut self, task: &str, attempt: u64, worker: &str, lapsed_at: Option<Instant>) {
        let key = (task.to_owned(), attempt, worker.to_owned());
        if let Some(position) = self.positions.get(&key)
            && let Some(start) = self.started.get_mut(*position)
            && !lapsed_at.is_some_and(|at| start.ended_at.is_some_and(|ended_at| at > ended_at))
        {
            start.noted_at.get_or_insert_with(Instant::now);
        }
    }

    /// Returns the program of a task, whose name is ID.K.STEP.INDEX.
    fn program(&self, task: &str) -> Option<Arc<Program>> {
        let mut parts = task.split('.');
        let job = parts.next()?.to_owned();
        let step = parts.nth(1)?.parse().ok()?;
        self.programs.get(&(job, step)).cloned()
    }

    /// Ends what is due to end, and lets runs work.
    fn advance(&mut self, record: &Record) {
        let now = Instant::now();
        for index in 0..self.workers.len() {
            if self.workers[index].server.is_none() {
                continue;
            }
            let has_lapsed = self.workers[index].clock_ms() >= self.workers[index].lease_until_ms;
            if has_lapsed {
                self.workers[index].lapsed_at = Some(now);
            }
            let running = self.workers[index].running.iter();
            let due = running.filter_map(|run| {
                let how = self.due_end(run, has_lapsed, now)?;
                Some((run.clone(), how))
            });
            for (run, how) in due.collect::<Vec<_>>() {
                self.finish(index, &run, how, now, record);
            }
            self.save(index, now);
        }
        self.let_work(now);
    }

    fn due_end(&self, run: &Run, has_lapsed: bool, now: Instant) -> Option<&'static str> {
        if has_lapsed {
            return Some("lapsed");
        }
        if run.stops_at.is_some_and(|at| now >= at) {
            return Some("stopped");
        }
        let program = run.program.clone()?;
        if run.works_since.is_none() {
            let is_alone = program.is_gang && now >= run.begun_at + GANG_TIMEOUT;
            return is_alone.then_some("alone");
        }
        let worked = run.worked(now);
        if self
            .failures
            .get(&run.task)
            .is_some_and(|after| worked >= *after)
        {
            return Some("failed");
        }
        (!program.is_perpetual && worked >= program.work).then_some("done")
    }

    fn finish(&mut self, index: usize, run: &Run, how: &'static str, now: Instant, log: &Record) {
        if how == "failed" {
            self.failures.remove(&run.task);
        }
        let saved = self.new_checkpoint(run, how, now);
        let worker = &mut self.workers[index];
        let is_run = |other: &Run| other.task == run.task && other.attempt == run.attempt;
        let Some(position) = worker.running.iter().position(is_run) else {
            return;
        };
        worker.running.remove(position);
        worker.last_number += 1;
        let past = worker.past.entry(run.task.clone()).or_default();
        *past = run.attempt.max(*past);
        worker.finished.push(End {
            number: worker.last_number,
            task: run.task.clone(),
            attempt: run.attempt,
            how,
            saved: saved.clone(),
        });
        let name = worker.name.clone();
        log.write(&format!(
            "{name} ends {} {how} checkpoint {saved:?}",
            run.label()
        ));
        self.record_end(run, &name, now, how);
        let is_whole = matches!(how, "done" | "alone" | "broken" | "lapsed");
        if !is_whole {
            self.break_gang(run, log);
        }
    }

    /// A stop makes a new checkpoint; other ends keep the last one.
    fn new_checkpoint(&mut self, run: &Run, how: &str, now: Instant) -> String {
        let program = run.program.clone();
        let is_saved = program.is_some_and(|program| program.has_checkpoints);
        if how == "done" || !is_saved {
            return String::new();
        }
        if how != "stopped" || run.works_since.is_none() {
            return run.saved.clone();
        }
        checkpoint_of(&run.task, run.worked(now))
    }

    fn record_end(&mut self, run: &Run, worker: &str, now: Instant, how: &'static str) {
        let key = (run.task.clone(), run.attempt, worker.to_owned());
        if let Some(position) = self.positions.get(&key)
            && let Some(started) = self.started.get_mut(*position)
            && started.ended_at.is_none()
        {
            started.ended_at = Some(now);
            started.how = how;
        }
    }

    /// Ends the other members of a gang's run as broken.
    fn break_gang(&mut self, run: &Run, log: &Record) {
        let is_gang = self
            .program(&run.task)
            .is_some_and(|program| program.is_gang);
        if !is_gang || run.works_since.is_none() {
            return;
        }
        let now = Instant::now();
        let stage = stage_of(&run.task);
        for index in 0..self.workers.len() {
            for other in self.workers[index].running.clone() {
                let is_member = stage_of(&other.task) == stage && other.attempt == run.attempt;
                if is_member && other.task != run.task {
                    self.finish(index, &other, "broken", now, log);
                }
            }
        }
    }

    fn save(&mut self, index: usize, now: Instant) {
        for position in 0..self.workers[index].running.len() {
            let run = &self.workers[index].running[position];
            let program = run.program.as_ref();
            let is_saved = program.is_some_and(|program| program.has_checkpoints);
            if is_saved && run.works_since.is_some() && now >= run.next_checkpoint_at {
                let saved = checkpoint_of(&run.task, run.worked(now));
                let run = &mut self.workers[index].running[position];
                run.saved = saved;
                run.next_checkpoint_at = now + CHECKPOINT;
            }
        }
    }

    /// Lets runs begin to work: those of a gang once all members of one run are present with the
    /// same checkpoint.
    fn let_work(&mut self, now: Instant) {
        let mut present: BTreeMap<(String, u64, String), u64> = BTreeMap::new();
        for run in self.workers.iter().flat_map(|worker| &worker.running) {
            if run.works_since.is_none() {
                let key = (stage_of(&run.task), run.attempt, run.carried.clone());
                *present.entry(key).or_default() += 1;
            }
        }
        for index in 0..self.workers.len() {
            for position in 0..self.workers[index].running.len() {
                let run = &self.workers[index].running[position];
                if run.works_since.is_some() {
                    continue;
                }
                let Some(program) = run.program.clone() else {
                    continue;
                };
                let key = (stage_of(&run.task), run.attempt, run.carried.clone());
                if !program.is_gang || present[&key] >= program.count {
                    let run = &mut self.workers[index].running[position];
                    run.works_since = Some(now);
                    run.next_checkpoint_at = now + CHECKPOINT;
                }
            }
        }
    }
}

/// Returns a checkpoint of a task, which says how much work it stands for and who made it.
fn checkpoint_of(task: &str, worked: Duration) -> String {
    format!(
        "{:04x}{:012x}",
        worked.as_millis() / 10 % 0x1_0000,
        hash(task)
    )
}

/// Returns the work that a checkpoint stands for.
fn work_of(checkpoint: &str) -> Duration {
    let digits = checkpoint.get(..4).unwrap_or_default();
    Duration::from_millis(u64::from_str_radix(digits, 16).unwrap_or(0) * 10)
}

/// Returns whether a task has made a checkpoint.
pub fn has_made(task: &str, checkpoint: &str) -> bool {
    checkpoint.get(4..) == Some(format!("{:012x}", hash(task)).as_str())
}

fn hash(task: &str) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    task.bytes().fold(0xcbf2_9ce4_8422_2325, mix) >> 16
}

/// Returns the labels of a worker: its kind and its rack.
pub fn labels(index: usize) -> [String; 2] {
    let kind = if index.is_multiple_of(2) { "a" } else { "b" };
    [kind.to_owned(), format!("r1-{}", index / 3)]
}

/// Returns the part of a task's name before its index.
pub fn stage_of(task: &str) -> String {
    task.rsplit_once('.')
        .map_or(task, |(stage, _)| stage)
        .to_owned()
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
