//! A side machine is removed for good, and another one comes at another address; or a worker alone
//! is lost for good, without a sign.

use std::path::Path;

use super::{Outcome, Verdict, conclude, sleep_ms};
use crate::cluster::{Cluster, Event, Shape};

/// The longest lease (`maxHoldMs`, 10 s), `contactMs` (3 s) and the span of the rule (3 s), doubled.
const WAIT_MS: u64 = 32_000;

/// What is lost.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Lost {
    Machine,
    Worker,
}

pub fn run_machine(has_trouble: bool, path: &Path) -> Outcome {
    run(Lost::Machine, has_trouble, path)
}

pub fn run_worker(has_trouble: bool, path: &Path) -> Outcome {
    run(Lost::Worker, has_trouble, path)
}

fn run(lost: Lost, has_trouble: bool, path: &Path) -> Outcome {
    let workers = match lost {
        Lost::Machine => 4,
        // One of them is less than the share of 0.14 that the site's days have.
        Lost::Worker => 8,
    };
    let shape = Shape {
        workers,
        ..Shape::default()
    };
    let mut cluster = Cluster::start(shape).map_err(|cause| cause.to_string())?;
    cluster.wait_ready()?;
    let record = cluster.record.clone();
    let id = "0000000000070001";
    let body = "{\"spec\":\"ms=6000\",\"steps\":[{\"count\":4,\"cpu\":2000,\"memMb\":2048,\
                \"estimateMs\":6000}]}";
    cluster.submit(id, body)?;
    let start = cluster.wait_event(10, |event| event.word == "start");
    let lost_worker = start.ok_or("no task started")?.worker;
    sleep_ms(1_500);
    if has_trouble && lost == Lost::Worker {
        cluster.silence_worker(lost_worker);
    } else if has_trouble {
        cluster.remove_side(lost_worker);
        sleep_ms(2_000);
        cluster.add_side().map_err(|cause| cause.to_string())?;
    }
    sleep_ms(WAIT_MS);
    let state = cluster.state(0, id);
    let events = record.events();
    let is_running = |start: &&Event| {
        let is_end = |end: &Event| {
            let is_own = end.task == start.task && end.attempt == start.attempt;
            end.worker == start.worker && (end.word == "crash" || end.word == "end" && is_own)
        };
        start.word == "start" && !events.iter().any(is_end)
    };
    let running = events.iter().filter(is_running).count();
    let verdict = if state != "done" && running == 0 {
        let (what, idle) = match lost {
            Lost::Machine => ("machine", "four"),
            Lost::Worker => ("worker", "seven"),
        };
        Verdict::Broken(format!(
            "LOST: over 30 s after the {what} of its tasks was lost the job is {state} with nothing \
             running, on {idle} idle workers"
        ))
    } else {
        Verdict::Held(format!("the job is {state}"))
    };
    Ok(conclude(&record, path, verdict))
}
