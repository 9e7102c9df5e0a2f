//! Jobs of all kinds that the protocol names, with disruptions drawn from `SEED`. Not a case: it
//! looks for faults where the bench's days have no such jobs.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use super::{job, keep_logs};
use crate::{
    json::Json,
    record::Record,
    store::Trouble,
    system::{Client, System, configuration},
    worker::{Program, Started, Workers, has_made, labels, stage_of},
};

const WORKERS: usize = 11;
const BUSY: Duration = Duration::from_secs(40);
const CALM: Duration = Duration::from_secs(24);
const JOB_INTERVAL: Duration = Duration::from_millis(1_200);
const INTERVAL_MS: u64 = 1_500;
const TIMES: u64 = 5;
const OVERLAP_MIN: Duration = Duration::from_millis(100);
const NEAR: Duration = Duration::from_millis(4_000);

/// What was submitted.
#[derive(Debug, Clone)]
struct Job {
    id: String,
    steps: Vec<Step>,
    times: u64,
    start_at_ms: u64,
    cancelled_at: Option<Instant>,
}

#[derive(Debug, Clone)]
struct Step {
    count: u64,
    after: Option<u64>,
    anti_affinity: u64,
    /// Label that the worker must have; empty if none.
    requires: String,
    is_speculative: bool,
    is_gang: bool,
    is_perpetual: bool,
}

/// What ends a disruption.
enum Undo {
    Continue(bool, usize),
    Restart(bool, usize),
    Worker(usize),
    Store,
    Orders,
}

pub fn play(folder: &Path, record: &Record, has_trouble: bool) -> Option<bool> {
    let mut system = System::start(3, WORKERS, record)?;
    let seed: u64 = std::env::var("SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    let mut random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    system.workers.lock().random = random ^ 0x5555_5555;
    let begun_at = Instant::now();
    let jobs: Arc<Mutex<Vec<Job>>> = Arc::default();
    // `CLIENTS` sets the load.
    let clients = std::env::var("CLIENTS")
        .ok()
        .and_then(|text| text.parse().ok());
    for number in 0..clients.unwrap_or(3_u64) {
        let (client, workers, jobs) = (system.client(), system.workers.clone(), jobs.clone());
        let random = random.rotate_left(7 + number as u32) ^ 0x1234_5678;
        thread::spawn(move || hand_in(&client, &workers, &jobs, number, random));
    }
    let mut next_trouble_at = begun_at + Duration::from_secs(3);
    let mut undos: Vec<(Instant, Undo)> = Vec::new();
    let mut troubles: Vec<(Instant, Instant)> = Vec::new();
    while begun_at.elapsed() < BUSY || !undos.is_empty() {
        let now = Instant::now();
        while let Some(position) = undos.iter().position(|(at, _)| now >= *at) {
            let (_, undo) = undos.remove(position);
            end_trouble(&mut system, undo, record);
        }
        if has_trouble && now >= next_trouble_at && begun_at.elapsed() < BUSY {
            let pause_ms = 600 + draw(&mut random, 3_500);
            next_trouble_at = now + Duration::from_millis(pause_ms);
            let (until, undo) = begin_trouble(&mut system, &mut random, &undos, record);
            if let Some(undo) = undo {
                undos.push((until, undo));
            }
            troubles.push((now, until));
        }
        thread::sleep(Duration::from_millis(10));
    }
    record.write("calm from here on");
    let calm_at = Instant::now();
    thread::sleep(CALM);
    keep_logs(&system, folder);
    let jobs = jobs.lock().expect("no panic").clone();
    let started = system.workers.lock().started.clone();
    let is_calm = |from: Instant, to: Instant| {
        !troubles
            .iter()
            .any(|(begun, ended)| *begun < to && *ended + NEAR > from)
    };
    let mut findings: Vec<String> = Vec::new();
    check_pairs(&started, &jobs, record, &mut findings);
    for start in &started {
        check_start(start, &started, &jobs, record, &mut findings);
        let ended_at = start.ended_at.unwrap_or_else(Instant::now);
        let job = find(&jobs, &start.task);
        let is_cancelled = job.is_none_or(|job| job.cancelled_at.is_some());
        if start.how == "alone" && is_calm(start.at, ended_at) && !is_cancelled && !start.is_late {
            findings.push(format!(
                "GANG {} alone at {:.3}",
                start.task,
                record.seconds(start.at)
            ));
        }
    }
    let mut states: BTreeMap<String, u64> = BTreeMap::new();
    for job in &jobs {
        let state = system.state(draw(&mut random, 3) as usize, &job.id);
        let lasts = job.steps[0].is_perpetual;
        let is_sound = match job.cancelled_at {
            Some(_) => matches!(state.as_str(), "cancelled" | "done" | "410"),
            None if lasts => state == "running",
            None => state == "done",
        };
        if !is_sound {
            findings.push(format!("LOST {} is {state}: {job:?}", job.id));
        }
        if lasts && job.cancelled_at.is_none() {
            let now_running = started.iter().filter(|start| {
                start.ended_at.is_none() && start.task.starts_with(job.id.as_str())
            });
            let count = now_running.count() as u64;
            if count != job.steps[0].count {
                findings.push(format!("LOST {} has {count} running of {job:?}", job.id));
            }
        }
        *states.entry(state).or_default() += 1;
    }
    record.write(&format!(
        "client: states of {} jobs: {states:?}",
        jobs.len()
    ));
    record.write(&format!(
        "{} starts; calm for {:.1} s",
        started.len(),
        calm_at.elapsed().as_secs_f64()
    ));
    for finding in &findings {
        record.write(finding);
        println!("{finding}");
    }
    Some(findings.is_empty())
}

fn find<'a>(jobs: &'a [Job], task: &str) -> Option<&'a Job> {
    jobs.iter().find(|job| task.starts_with(job.id.as_str()))
}

fn step_of<'a>(job: &'a Job, task: &str) -> Option<&'a Step> {
    let step: usize = task.split('.').nth(2)?.parse().ok()?;
    job.steps.get(step)
}

fn check_pairs(started: &[Started], jobs: &[Job], record: &Record, findings: &mut Vec<String>) {
    let now = Instant::now();
    let mut by_task: BTreeMap<&str, Vec<&Started>> = BTreeMap::new();
    for start in started {
        by_task.entry(&start.task).or_default().push(start);
    }
    for (task, runs) in by_task {
        let step = find(jobs, task).and_then(|job| step_of(job, task));
        if step.is_some_and(|step| step.is_speculative) {
            continue;
        }
        for (index, first) in runs.iter().enumerate() {
            for second in &runs[index + 1..] {
                let end = first
                    .ended_at
                    .unwrap_or(now)
                    .min(second.ended_at.unwrap_or(now));
                let overlap = end.saturating_duration_since(first.at.max(second.at));
                let is_after_done = first.how == "done"
                    && first.noted_at.is_some()
                    && first.ended_at.is_some_and(|at| second.at > at);
                if overlap >= OVERLAP_MIN || is_after_done {
                    findings.push(format!(
                        "TWICE {task}: {:#x} on {} {:.3} to {:.3} {} late {}, {:#x} on {} {:.3} to {:.3} {} late {}",
                        first.attempt,
                        first.worker,
                        record.seconds(first.at),
                        record.seconds(first.ended_at.unwrap_or(now)),
                        first.how,
                        first.is_late,
                        second.attempt,
                        second.worker,
                        record.seconds(second.at),
                        record.seconds(second.ended_at.unwrap_or(now)),
                        second.how,
                        second.is_late,
                    ));
                }
            }
        }
    }
}

fn check_start(
    start: &Started,
    started: &[Started],
    jobs: &[Job],
    record: &Record,
    findings: &mut Vec<String>,
) {
    let at = record.seconds(start.at);
    let Some(job) = find(jobs, &start.task) else {
        // Its submission was refused or got no answer.
        return;
    };
    let Some(step) = step_of(job, &start.task) else {
        findings.push(format!("UNASKED {} at {at:.3}", start.task));
        return;
    };
    let mut parts = start.task.split('.').skip(1);
    let occurrence: u64 = parts
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(u64::MAX);
    if start.spec != format!("spec {}", job.id) {
        findings.push(format!("UNASKED {} with spec {:?}", start.task, start.spec));
    }
    if !start.checkpoint.is_empty() {
        let mut makers = vec![start.task.clone()];
        if step.is_gang {
            makers
                .extend((0..step.count).map(|index| format!("{}.{index}", stage_of(&start.task))));
        }
        let is_own = makers.iter().any(|task| has_made(task, &start.checkpoint));
        if !is_own {
            findings.push(format!(
                "UNASKED {} with the checkpoint {:?}",
                start.task, start.checkpoint
            ));
        }
    }
    if let Some(after) = step.after {
        let former = &job.steps[after as usize];
        let done: BTreeSet<&str> = started
            .iter()
            .filter(|other| other.how == "done" && other.ended_at.is_some_and(|end| end < start.at))
            .map(|other| other.task.as_str())
            .filter(|task| task.starts_with(&format!("{}.{occurrence}.{after}.", job.id)))
            .collect();
        let needed = if former.is_gang { 1 } else { former.count };
        if (done.len() as u64) < needed {
            findings.push(format!(
                "ORDER {} at {at:.3}: {} of {needed}",
                start.task,
                done.len()
            ));
        }
    }
    if job.times > 0 {
        let due_ms = job.start_at_ms + occurrence * INTERVAL_MS;
        let started_ms = unix_ms() - start.at.elapsed().as_millis() as u64;
        if started_ms + 250 < due_ms {
            findings.push(format!(
                "ORDER {} at {at:.3}: {} ms early",
                start.task,
                due_ms - started_ms
            ));
        }
    }
    if step.anti_affinity > 0 {
        let beside = started.iter().filter(|other| {
            other.worker == start.worker
                && stage_of(&other.task) == stage_of(&start.task)
                && other.at <= start.at
                && other.ended_at.is_none_or(|end| end > start.at)
        });
        let count = beside.count() as u64;
        if count > step.anti_affinity {
            findings.push(format!(
                "ROUTE {} at {at:.3}: {count} on {}",
                start.task, start.worker
            ));
        }
    }
    let worker = start
        .worker
        .rsplit('-')
        .next()
        .and_then(|text| text.parse().ok());
    let has_label = worker.is_some_and(|index| labels(index).contains(&step.requires));
    if !step.requires.is_empty() && !has_label {
        findings.push(format!(
            "ROUTE {} at {at:.3} on {}",
            start.task, start.worker
        ));
    }
    if let Some(cancelled_at) = job.cancelled_at
        && start.at > cancelled_at + Duration::from_millis(3_000)
        && !start.is_late
    {
        findings.push(format!(
            "UNASKED {} at {at:.3} after its cancelling",
            start.task
        ));
    }
}

fn begin_trouble(
    system: &mut System,
    random: &mut u64,
    undos: &[(Instant, Undo)],
    record: &Record,
) -> (Instant, Option<Undo>) {
    let now = Instant::now();
    let after = |ms: u64| now + Duration::from_millis(ms);
    let owner = system.store.get("tq/owner").unwrap_or_default();
    let mut entry = draw(random, 3) as usize;
    if draw(random, 3) > 0 {
        let position = system
            .entries
            .iter()
            .position(|process| owner.contains(&process.name));
        entry = position.unwrap_or(entry);
    }
    let side = draw(random, WORKERS as u64) as usize;
    let is_taken = |is_entry: bool, index: usize| {
        undos.iter().any(|(_, undo)| match undo {
            Undo::Continue(entry, at) | Undo::Restart(entry, at) => {
                *entry == is_entry && *at == index
            }
            Undo::Worker(at) => !is_entry && *at == index,
            Undo::Store | Undo::Orders => false,
        })
    };
    match draw(random, 11) {
        0 if !is_taken(true, entry) => {
            record.write(&format!("{} is killed", system.entries[entry].name));
            system.entries[entry].kill();
            (after(500), Some(Undo::Restart(true, entry)))
        }
        1 if !is_taken(true, entry) => {
            let ms = 500 + draw(random, 3_500);
            record.write(&format!(
                "{} stands still for {ms} ms",
                system.entries[entry].name
            ));
            system.entries[entry].signal("-STOP");
            (after(ms), Some(Undo::Continue(true, entry)))
        }
        2 if !is_taken(false, side) => {
            record.write(&format!("{} is killed", system.companions[side].name));
            system.companions[side].kill();
            (after(500), Some(Undo::Restart(false, side)))
        }
        3 if !is_taken(false, side) => {
            let ms = 500 + draw(random, 3_500);
            record.write(&format!(
                "{} stands still for {ms} ms",
                system.companions[side].name
            ));
            system.companions[side].signal("-STOP");
            (after(ms), Some(Undo::Continue(false, side)))
        }
        4 if !is_taken(false, side) => {
            system.workers.end(side, "crashes");
            (after(400 + draw(random, 3_000)), Some(Undo::Worker(side)))
        }
        5 => {
            let kinds = [Trouble::Busy, Trouble::Silent, Trouble::Lost];
            let trouble = kinds[draw(random, 3) as usize];
            record.write(&format!("the store has {trouble:?}"));
            system.store.set_trouble(trouble);
            (after(500 + draw(random, 4_000)), Some(Undo::Store))
        }
        6 => {
            record.write("some orders are carried out late");
            system.workers.lock().late_permille = 55;
            (after(5_500), Some(Undo::Orders))
        }
        7 if !is_taken(true, entry) => {
            record.write(&format!("{} gets a SIGTERM", system.entries[entry].name));
            system.entries[entry].signal("-TERM");
            (after(6_000), Some(Undo::Restart(true, entry)))
        }
        8 if !is_taken(false, side) => {
            let (workers, ms) = (system.workers.clone(), 3_000);
            thread::spawn(move || {
                if workers.drain(side, Duration::from_millis(ms)) {
                    thread::sleep(Duration::from_millis(ms));
                    workers.leave(side, Duration::from_secs(5));
                }
            });
            (after(12_000), Some(Undo::Worker(side)))
        }
        9 if !is_taken(false, side) => {
            system.workers.end(side, "crashes");
            (after(20 + draw(random, 130)), Some(Undo::Worker(side)))
        }
        10 => {
            let version = 2 + record.seconds(now) as u64;
            record.write(&format!("configuration {version}"));
            system.store.put("op/config", &configuration(version));
            (now, None)
        }
        _ => (now, None),
    }
}

fn end_trouble(system: &mut System, undo: Undo, record: &Record) {
    match undo {
        Undo::Continue(true, index) => system.entries[index].signal("-CONT"),
        Undo::Continue(false, index) => system.companions[index].signal("-CONT"),
        Undo::Restart(is_entry, index) => {
            let process = match is_entry {
                true => &mut system.entries[index],
                false => &mut system.companions[index],
            };
            process.kill();
            process.restart();
            record.write(&format!("{} starts again", process.name));
        }
        Undo::Worker(index) => {
            if system.workers.is_up(index) {
                system.workers.end(index, "ends");
            }
            thread::sleep(Duration::from_millis(20));
            system.workers.begin(index);
        }
        Undo::Store => system.store.set_trouble(Trouble::None),
        Undo::Orders => system.workers.lock().late_permille = 0,
    }
}

/// Hands jobs in, one after the other, and cancels some.
fn hand_in(client: &Client, workers: &Workers, jobs: &Mutex<Vec<Job>>, number: u64, seed: u64) {
    let (begun_at, mut random, mut count) = (Instant::now(), seed | 1, 0);
    while begun_at.elapsed() < BUSY {
        thread::sleep(JOB_INTERVAL);
        count += 1;
        let id = format!(
            "{:016x}",
            0xb000_0000_0000_0000_u64 + number * 0x1000 + count
        );
        let Some(job) = submit(client, workers, &id, &mut random) else {
            continue;
        };
        let is_cancelled = draw(&mut random, 12) == 0;
        jobs.lock().expect("no panic").push(job);
        if !is_cancelled {
            continue;
        }
        thread::sleep(Duration::from_millis(draw(&mut random, 1_500)));
        let cancelled_at = Instant::now();
        let mut is_acknowledged = false;
        for _ in 0..8 {
            let entry = draw(&mut random, 3) as usize;
            let (status, _) = client.call(entry, "DELETE", &id, "");
            client
                .record
                .write(&format!("client: DELETE {id} at {entry}: {status}"));
            if (200..300).contains(&status) || status == 410 {
                is_acknowledged = true;
                break;
            }
            thread::sleep(Duration::from_millis(300));
        }
        if let Some(job) = jobs
            .lock()
            .expect("no panic")
            .iter_mut()
            .find(|job| job.id == id)
        {
            // Without an acknowledgement, the job counts as neither.
            job.cancelled_at = Some(if is_acknowledged {
                Instant::now()
            } else {
                cancelled_at + BUSY
            });
        }
    }
}

fn submit(client: &Client, workers: &Workers, id: &str, random: &mut u64) -> Option<Job> {
    let kind = draw(random, 10);
    let is_perpetual = kind == 0;
    let times = if kind == 1 { TIMES } else { 0 };
    let steps_count = if is_perpetual { 1 } else { 1 + draw(random, 3) };
    let (mut steps, mut bodies) = (Vec::new(), Vec::new());
    for number in 0..steps_count {
        let requires = match draw(random, 8) {
            0 => labels(draw(random, WORKERS as u64) as usize)[draw(random, 2) as usize].clone(),
            _ => String::new(),
        };
        // A rack has two or three workers.
        let count = 1 + draw(random, if requires.is_empty() { 5 } else { 2 });
        let is_gang = !is_perpetual && draw(random, 3) == 0;
        // Case 13 shows gangs that save their progress.
        let has_checkpoints = draw(random, 2) == 0 && !is_perpetual && !is_gang;
        let is_speculative = !is_gang && !is_perpetual && draw(random, 4) == 0;
        let anti_affinity = if draw(random, 4) == 0 {
            1 + draw(random, 2)
        } else {
            0
        };
        let work_ms = if is_perpetual {
            1_000_000
        } else {
            200 + draw(random, 2_500)
        };
        let after = (number > 0).then(|| draw(random, number));
        let cpu = if is_perpetual {
            500
        } else {
            500 + draw(random, if is_gang { 20_000 } else { 6_000 })
        };
        let mut body = vec![
            ("count".to_owned(), count.into()),
            ("cpu".to_owned(), Json::from(cpu)),
            ("memMb".to_owned(), 500_u64.into()),
            ("estimateMs".to_owned(), work_ms.min(1_000).into()),
        ];
        let flags = [
            ("gang", is_gang),
            ("checkpoints", has_checkpoints),
            ("speculative", is_speculative),
            ("perpetual", is_perpetual),
        ];
        for (name, is_set) in flags {
            if is_set {
                body.push((name.to_owned(), true.into()));
            }
        }
        if !requires.is_empty() {
            body.push(("requires".to_owned(), requires.as_str().into()));
        }
        if draw(random, 6) == 0 {
            let rack = labels(draw(random, WORKERS as u64) as usize)[1].clone();
            body.push(("affinity".to_owned(), rack.as_str().into()));
        }
        if is_gang && draw(random, 3) == 0 {
            body.push(("sameRack".to_owned(), true.into()));
        }
        if anti_affinity > 0 {
            body.push(("antiAffinity".to_owned(), anti_affinity.into()));
        }
        if let Some(after) = after {
            body.push(("after".to_owned(), Json::List(vec![after.into()])));
        }
        let program = Program {
            count,
            is_gang,
            is_perpetual,
            has_checkpoints,
            work: Duration::from_millis(work_ms),
        };
        workers.know(id, number, program);
        bodies.push(Json::Object(body));
        steps.push(Step {
            count,
            after,
            anti_affinity,
            requires,
            is_speculative,
            is_gang,
            is_perpetual,
        });
    }
    let start_at_ms = unix_ms() + 500 + draw(random, 2_000);
    let mut body = job(&format!("spec {id}"), bodies);
    if times > 0
        && let Json::Object(fields) = &mut body
    {
        fields.push(("times".to_owned(), times.into()));
        fields.push(("startAtMs".to_owned(), start_at_ms.into()));
        fields.push(("intervalMs".to_owned(), INTERVAL_MS.into()));
    }
    client.record.write(&body.print());
    let is_accepted = client.submit(id, &body);
    is_accepted.then(|| Job {
        id: id.to_owned(),
        steps,
        times,
        start_at_ms,
        cancelled_at: None,
    })
}

fn draw(state: &mut u64, below: u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    (*state >> 16) % below
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
