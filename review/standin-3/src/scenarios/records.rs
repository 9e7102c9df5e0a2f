//! A job has more tasks that save their progress than one value of the store can describe. Small
//! jobs come beside it.

use std::{
    collections::BTreeSet,
    path::Path,
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use super::{job, keep_logs};
use crate::{
    json::{Json, object},
    record::Record,
    system::System,
    worker::{Program, Started},
};

const ID: &str = "3f51c07be2d8a964";
const WORKERS: usize = 11;
/// Occurrences of the large job, without the disruption too, and their tasks.
const TIMES: u64 = 70;
const TIMES_CALM: u64 = 20;
const INTERVAL_MS: u64 = 500;
const COUNT: u64 = 200;
const WORK: Duration = Duration::from_millis(42_000);
/// Time after the start of the large job from which on small jobs come, and their interval.
const SMALL_FROM: Duration = Duration::from_millis(46_000);
const SMALL_INTERVAL: Duration = Duration::from_millis(500);
const SMALL_COUNT: u64 = 20;
/// Thousandths of a core: those of a task of the large job, and those of all workers.
const LARGE_CPU: u64 = 15;
const CAPACITY: u64 = WORKERS as u64 * 32_000;
/// Time for which a job may have nothing running while the turn of a task has come.
const IDLE_MAX: Duration = Duration::from_secs(3);
/// `finish_s`.
const FINISH: Duration = Duration::from_secs(14);

pub fn play(folder: &Path, record: &Record, has_trouble: bool) -> Option<bool> {
    let system = System::start(3, WORKERS, record)?;
    let begun_at = Instant::now();
    let times = if has_trouble { TIMES } else { TIMES_CALM };
    let mut step = step(COUNT, LARGE_CPU, 5);
    step.push(("checkpoints".to_owned(), true.into()));
    step.push(("estimateMs".to_owned(), 42_000_u64.into()));
    know(&system, ID, 0, COUNT, true, WORK);
    let now_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .ok()?
        .as_millis() as u64;
    let large = object([
        ("spec", "a large job".into()),
        ("steps", Json::List(vec![Json::Object(step)])),
        ("times", times.into()),
        ("startAtMs", (now_ms + 500).into()),
        ("intervalMs", INTERVAL_MS.into()),
    ]);
    if !system.submit(ID, &large) {
        return None;
    }
    while begun_at.elapsed() < SMALL_FROM {
        thread::sleep(Duration::from_secs(3));
        write_progress(&system, record);
    }
    let mut accepted = Vec::new();
    for number in 0..SMALL_COUNT {
        let id = format!("b000000000000{number:03x}");
        if submit_small(&system, &id) {
            accepted.push(id);
        }
        thread::sleep(SMALL_INTERVAL);
    }
    thread::sleep(FINISH);
    write_progress(&system, record);
    keep_logs(&system, folder);
    let states: Vec<String> = accepted.iter().map(|id| system.state(0, id)).collect();
    let done = states.iter().filter(|state| *state == "done").count();
    record.write(&format!(
        "client: {done} of {} small jobs are done: {states:?}; the large one is {}",
        accepted.len(),
        system.state(0, ID),
    ));
    let started = system.workers.lock().started.clone();
    let of_small = started
        .iter()
        .filter(|start| !start.task.starts_with(ID) && start.how == "done");
    let noted = of_small
        .clone()
        .filter(|start| start.noted_at.is_some())
        .count();
    record.write(&format!(
        "{} runs of small jobs have ended done, {noted} of them are taken note of",
        of_small.count(),
    ));
    let now = Instant::now();
    // What was running at any time of the last 3 s.
    let is_recent = |start: &Started| start.ended_at.is_none_or(|at| at + IDLE_MAX >= now);
    let used = started
        .iter()
        .filter(|start| is_recent(start) && start.task.starts_with(ID));
    let used = used.count() as u64 * LARGE_CPU;
    record.write(&format!(
        "at most {used} of {CAPACITY} thousandths of a core were in use in the last 3 s"
    ));
    let is_waiting = |id: &str| {
        let runs = started.iter().filter(|start| start.task.starts_with(id));
        // The turn of a task has come if one of the two steps hasn't ended done.
        let done: BTreeSet<&str> = runs
            .clone()
            .filter(|start| start.how == "done")
            .map(|start| start.task.as_str())
            .collect();
        done.len() < 2 && !runs.clone().any(is_recent)
    };
    let waiting = accepted.iter().filter(|id| is_waiting(id)).count();
    record.write(&format!(
        "of {waiting} small jobs the turn of a task has come and nothing has run for 3 s"
    ));
    let is_room = used * 2 < CAPACITY;
    (!accepted.is_empty() && is_room).then_some(waiting == 0)
}

fn write_progress(system: &System, record: &Record) {
    let state = system.workers.lock();
    let done = state
        .started
        .iter()
        .filter(|start| start.how == "done")
        .count();
    let noted = state
        .started
        .iter()
        .filter(|start| start.noted_at.is_some())
        .count();
    let starts = state.started.len();
    drop(state);
    let memory: Vec<u64> = system
        .entries
        .iter()
        .map(|entry| entry.memory_mb())
        .collect();
    record.write(&format!(
        "{starts} starts, {done} ends done, {noted} taken note of, memory {memory:?} MB"
    ));
}

fn submit_small(system: &System, id: &str) -> bool {
    let mut second = step(1, 500, 100);
    second.push(("after".to_owned(), Json::List(vec![0_u64.into()])));
    for number in 0..2 {
        know(system, id, number, 1, false, Duration::from_millis(300));
    }
    let steps = vec![Json::Object(step(1, 500, 100)), Json::Object(second)];
    system.submit(id, &job("a small job", steps))
}

fn step(count: u64, cpu: u64, mem_mb: u64) -> Vec<(String, Json)> {
    let Json::Object(fields) = object([
        ("count", count.into()),
        ("cpu", cpu.into()),
        ("memMb", mem_mb.into()),
    ]) else {
        return Vec::new();
    };
    fields
}

fn know(system: &System, id: &str, step: u64, count: u64, has_checkpoints: bool, work: Duration) {
    let program = Program {
        count,
        is_gang: false,
        is_perpetual: false,
        has_checkpoints,
        work,
    };
    system.workers.know(id, step, program);
}
