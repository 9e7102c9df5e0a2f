//! Stand-in of a worker, as PROTOCOL.md tells. It runs as a process of its own and writes one line
//! for each thing that happens to standard output: the time in microseconds since 1970, the word,
//! and its words.
//!
//! A task works for `ms=N` milliseconds, as its spec says, and `step=M` milliseconds more for each
//! place of its index. Its checkpoint is renewed every `saves=N` milliseconds.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    clock::unix_micros,
    http::{self, Answer, Request},
    json::{Json, quote},
};

const TICK: Duration = Duration::from_millis(2);
/// PROTOCOL.md: unacknowledged ends are returned 500 at a time.
const ENDS_PER_LIST: usize = 500;

/// What a worker is started with.
#[derive(Debug, Clone)]
pub struct Settings {
    pub id: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub service: String,
    pub cpu: u64,
    pub mem_mb: u64,
    pub heartbeat: Duration,
    pub max_hold: Duration,
    pub stop_grace: Duration,
}

#[derive(Debug)]
struct Run {
    task: String,
    attempt: u64,
    due: Instant,
    stops_at: Option<Instant>,
    begun: Instant,
    saves: Option<Duration>,
    resumed: String,
    work: Duration,
}

#[derive(Debug)]
struct End {
    number: u64,
    row: String,
    task: String,
    attempt: u64,
    how: &'static str,
    /// The lease has not lapsed since the end.
    is_held: bool,
}

#[derive(Debug, Default)]
struct State {
    fence: u64,
    runs: Vec<Run>,
    ends: Vec<End>,
    last_end: u64,
    lease_ms: u64,
    /// Highest attempt of each task that was stopped or has ended.
    over: BTreeMap<String, u64>,
}

struct Worker {
    settings: Settings,
    born: u64,
    started: Instant,
    state: Mutex<State>,
    changed: Condvar,
}

/// Runs a worker until the process is killed.
pub fn run(settings: Settings) -> ! {
    let listener = TcpListener::bind(settings.address).expect("the worker's address is free");
    let worker = Arc::new(Worker {
        settings,
        born: unix_micros() / 1_000,
        started: Instant::now(),
        state: Mutex::default(),
        changed: Condvar::new(),
    });
    worker.note("born", &worker.born.to_string());
    let served = worker.clone();
    http::serve(listener, move |request| served.answer(request));
    let beating = worker.clone();
    thread::spawn(move || beating.send_heartbeats());
    loop {
        thread::sleep(TICK);
        worker.tick();
    }
}

impl Worker {
    fn note(&self, word: &str, rest: &str) {
        let mut out = std::io::stdout().lock();
        let written = writeln!(out, "{} {word} {rest}", unix_micros());
        if written.and_then(|()| out.flush()).is_err() {
            // The driver has ended.
            std::process::exit(0);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Time on the worker's own clock, which starts anew with each life.
    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    fn send_heartbeats(&self) {
        for seq in 1.. {
            let Settings {
                id,
                address,
                service,
                cpu,
                mem_mb,
                ..
            } = &self.settings;
            let body = format!(
                "{{\"service\":{},\"addr\":\"{address}\",\"zone\":\"z1\",\"version\":\"v1\",\
                 \"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{{\"cpu\":{cpu},\
                 \"memMb\":{mem_mb},\"gpu\":0}},\"labels\":[\"a\"],\"clockMs\":{},\"seq\":{seq},\
                 \"born\":{}}}",
                quote(service),
                self.clock_ms(),
                self.born
            );
            let path = format!("/v1/instances/{id}/heartbeat");
            let timeout = Duration::from_secs(1);
            let _ = http::call(self.settings.control, ("POST", &path), &[], &body, timeout);
            thread::sleep(self.settings.heartbeat);
        }
    }

    fn answer(&self, request: &Request) -> Answer {
        if request.path == "/healthz" {
            return (200, "{}".to_owned());
        }
        if request
            .header("X-Target-Instance")
            .is_some_and(|id| id != self.settings.id)
        {
            return self.reply(421, "");
        }
        let Some(call) = Json::parse(&request.body) else {
            return self.reply(400, "");
        };
        let fence = call.get("fence").number().unwrap_or(0);
        {
            let mut state = self.state();
            if fence < state.fence {
                return self.reply(409, ",\"reason\":\"fence\"");
            }
            state.fence = fence;
        }
        match request.path.as_str() {
            "/v1/run-start" => self.start(&call),
            "/v1/run-stop" => self.stop(&call),
            "/v1/pace" => self.reply(200, ""),
            "/v1/hold" => self.hold(&call),
            _ => self.reply(404, ""),
        }
    }

    fn reply(&self, status: u16, rest: &str) -> Answer {
        let body = format!(
            "{{\"clockMs\":{},\"born\":{}{rest}}}",
            self.clock_ms(),
            self.born
        );
        (status, body)
    }

    fn extend_lease(&self, state: &mut State, call: &Json) {
        if let Some(deadline_ms) = call.get("deadlineMs").number() {
            let longest_ms = self.clock_ms() + self.settings.max_hold.as_millis() as u64;
            state.lease_ms = state.lease_ms.max(deadline_ms.min(longest_ms));
        }
    }

    fn start(&self, call: &Json) -> Answer {
        let (task, spec) = (call.get("task").text(), call.get("spec").text());
        let Some(attempt) = call.get("attempt").number() else {
            return self.reply(400, "");
        };
        if call.get("deadlineMs").number().unwrap_or(0) <= self.clock_ms() {
            return self.reply(409, ",\"reason\":\"late\"");
        }
        let mut state = self.state();
        self.extend_lease(&mut state, call);
        let is_there = |run: &Run| run.task == task && run.attempt == attempt;
        if state.runs.iter().any(is_there) {
            return self.reply(200, "");
        }
        if state.over.get(task).is_some_and(|over| attempt <= *over) {
            return self.reply(409, ",\"reason\":\"old\"");
        }
        let index: u64 = task
            .rsplit('.')
            .next()
            .and_then(|word| word.parse().ok())
            .unwrap_or(0);
        let field = |name| crate::spec_field(spec, name);
        let work =
            Duration::from_millis(field("ms").unwrap_or(500) + field("step").unwrap_or(0) * index);
        let checkpoint = call.get("checkpoint").text();
        let now = Instant::now();
        state.runs.push(Run {
            task: task.to_owned(),
            attempt,
            due: now + work,
            stops_at: None,
            begun: now,
            saves: field("saves").map(Duration::from_millis),
            resumed: checkpoint.to_owned(),
            work,
        });
        let checkpoint = if checkpoint.is_empty() {
            "-"
        } else {
            checkpoint
        };
        self.note("start", &format!("{task} {attempt} {checkpoint}"));
        self.reply(200, "")
    }

    fn stop(&self, call: &Json) -> Answer {
        let task = call.get("task").text();
        let attempt = call.get("attempt").number().unwrap_or(0);
        let mut state = self.state();
        let over = state.over.entry(task.to_owned()).or_default();
        *over = (*over).max(attempt);
        let stops_at = Instant::now() + self.settings.stop_grace;
        for run in &mut state.runs {
            if run.task == task && run.attempt == attempt {
                run.stops_at.get_or_insert(stops_at);
            }
        }
        self.reply(200, "")
    }

    fn hold(&self, call: &Json) -> Answer {
        let wait_ms = call.get("waitMs").number().unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let seen = call.get("lastSeen").number().unwrap_or(0);
        let mut state = self.state();
        self.extend_lease(&mut state, call);
        for end in state.ends.iter().filter(|end| end.number <= seen) {
            let word = if end.is_held { "noted" } else { "forgotten" };
            self.note(word, &format!("{} {} {}", end.task, end.attempt, end.how));
        }
        state.ends.retain(|end| end.number > seen);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if !state.ends.is_empty() || left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.expect("no thread panics while it holds the lock").0;
        }
        let running: Vec<String> = state.runs.iter().map(Run::row).collect();
        let ends = state.ends.iter().take(ENDS_PER_LIST);
        let finished: Vec<&str> = ends.map(|end| end.row.as_str()).collect();
        let lists = format!(
            ",\"running\":[{}],\"finished\":[{}]",
            running.join(","),
            finished.join(",")
        );
        self.reply(200, &lists)
    }

    /// Ends what is due, and all that runs when the lease is over.
    fn tick(&self) {
        let now = Instant::now();
        let mut state = self.state();
        let has_lapsed = self.clock_ms() >= state.lease_ms;
        if has_lapsed {
            for end in &mut state.ends {
                end.is_held = false;
            }
        }
        let mut index = 0;
        while index < state.runs.len() {
            let how = self.end_of(&mut state.runs[index], has_lapsed, now);
            match how {
                Some(how) => self.end(&mut state, index, how),
                None => index += 1,
            }
        }
        drop(state);
        self.changed.notify_all();
    }

    fn end_of(&self, run: &mut Run, has_lapsed: bool, now: Instant) -> Option<&'static str> {
        if has_lapsed {
            return Some("lapsed");
        }
        if run.stops_at.is_some_and(|at| now >= at) {
            return Some("stopped");
        }
        (now >= run.due).then_some("done")
    }

    fn end(&self, state: &mut State, index: usize, how: &'static str) {
        let run = state.runs.remove(index);
        state.last_end += 1;
        let saved = if how == "done" {
            String::new()
        } else {
            run.saved()
        };
        let task = run.task.clone();
        self.note("end", &format!("{task} {} {how}", run.attempt));
        let over = state.over.entry(task.clone()).or_default();
        *over = (*over).max(run.attempt);
        state.ends.push(End {
            number: state.last_end,
            row: format!(
                "[{},\"{task}\",{},\"{how}\",\"{saved}\"]",
                state.last_end, run.attempt
            ),
            task,
            attempt: run.attempt,
            how,
            is_held: how != "lapsed",
        });
    }
}

impl Run {
    fn row(&self) -> String {
        let percent = match self.work.as_millis() {
            0 => 100,
            work => (self.begun.elapsed().as_millis() * 100 / work).min(100),
        };
        format!(
            "[\"{}\",{},\"{}\",{percent},0]",
            self.task,
            self.attempt,
            self.saved()
        )
    }

    /// The last checkpoint: a value of this run, or the one that it has resumed from.
    fn saved(&self) -> String {
        let Some(interval) = self.saves else {
            return self.resumed.clone();
        };
        let worked = self
            .work
            .saturating_sub(self.due.saturating_duration_since(Instant::now()));
        match worked.as_millis() / interval.as_millis().max(1) {
            0 => self.resumed.clone(),
            count => format!("{:x}x{:x}x{count:x}", hash(&self.task), self.attempt),
        }
    }
}

fn hash(text: &str) -> u32 {
    text.bytes().fold(7, |sum: u32, byte| {
        sum.wrapping_mul(31).wrapping_add(u32::from(byte))
    })
}
