//! A machine of a worker and, soon after it, two owners in a row are removed for good.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    cluster::Cluster,
    json::{Value, object},
    record::Record,
};

const JOB: &str = "00000000000000f1";

/// Number of tasks of the job; one fits on a worker.
const TASKS: u64 = 6;

/// Time from the loss of the worker's machine to that of the owner's.
const FIRST_OWNER_DELAY: Duration = Duration::from_millis(400);

/// Time from the next owner's takeover to the loss of its machine.
const SECOND_OWNER_DELAY: Duration = Duration::from_millis(150);

/// Calm time before the time for which a task that lasts may not be without a run, in seconds.
const CALM_S: f64 = 4.0;

/// Time for which it may not be without a run, in seconds.
const WITHOUT_RUN_S: f64 = 3.0;

/// Time after its last run from which that holds, in seconds.
const SINCE_LAST_RUN_S: f64 = 6.0;

/// Time for which the system is watched after the last loss.
const WATCHED_FOR: Duration = Duration::from_secs(14);

pub fn run(record: Record, has_trouble: bool) -> Outcome {
    let mut cluster = Cluster::new(record.clone(), 2);
    if let Err(text) = cluster.start_small(&[&["a"] as &[&str]; 10]) {
        return Outcome::NotRun(text);
    }
    if cluster.submit(0, JOB, &job()) != 200 {
        return Outcome::NotRun("the job wasn't accepted".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    let running = cluster.history.lock().unwrap().running.clone();
    if running.len() as u64 != TASKS {
        return Outcome::NotRun(format!("{} of {TASKS} tasks are at work", running.len()));
    }
    let (task, _, worker_name) = running[0].clone();
    let lost_at = record.seconds();
    let mut calm_since = lost_at;
    if has_trouble {
        let index = cluster
            .workers
            .iter()
            .position(|worker| worker.settings.name == worker_name);
        let index = index.expect("a known worker");
        cluster.companions[index].suspend();
        cluster.workers[index].crash();
        thread::sleep(FIRST_OWNER_DELAY);
        let first = cluster.owner();
        let Some(first_index) = first else {
            return Outcome::NotRun("there is no owner".to_owned());
        };
        cluster.entries[first_index].process.kill();
        let deadline = Instant::now() + Duration::from_secs(8);
        while cluster.owner() == first && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(5));
        }
        let Some(second_index) = cluster.owner().filter(|owner| Some(*owner) != first) else {
            return Outcome::NotRun("no other entry took the role over".to_owned());
        };
        record.write("another entry has taken the role over");
        thread::sleep(SECOND_OWNER_DELAY);
        cluster.entries[second_index].process.kill();
        calm_since = record.seconds();
    }
    thread::sleep(WATCHED_FOR);
    let starts = cluster.history.lock().unwrap().starts.clone();
    let next_start = starts
        .iter()
        .find(|start| start.task == task && start.at > lost_at);
    if !has_trouble {
        let running = cluster.history.lock().unwrap().running.len() as u64;
        return if running == TASKS && next_start.is_none() {
            Outcome::Held
        } else {
            Outcome::NotRun(format!(
                "{running} of {TASKS} tasks are at work without a disruption"
            ))
        };
    }
    let started_at = next_start.map_or(record.seconds(), |start| start.at);
    let judged_from = (calm_since + CALM_S).max(lost_at + SINCE_LAST_RUN_S);
    let without_run_s = started_at - judged_from;
    record.write(format!(
        "the task {task} was lost at {lost_at:.2} s; no disruption since {calm_since:.2} s; its next \
         run is at {started_at:.2} s"
    ));
    if without_run_s < WITHOUT_RUN_S {
        return Outcome::Held;
    }
    Outcome::Broken(vec![format!(
        "the lasting task {task} has no run from {judged_from:.1} s to {started_at:.1} s \
         ({without_run_s:.1} s), with calm since {calm_since:.1} s and four idle workers"
    )])
}

fn job() -> Value {
    let step = object([
        ("count", TASKS.into()),
        ("cpu", 9_000.into()),
        ("memMb", 6_400.into()),
        ("estimateMs", 2_000.into()),
        ("perpetual", true.into()),
    ]);
    object([
        ("spec", "0:0:9000:6400".into()),
        ("steps", vec![step].into()),
    ])
}
