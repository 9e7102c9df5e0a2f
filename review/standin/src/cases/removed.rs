//! A side machine is removed for good, and another one comes at another address.

use std::path::Path;

use super::{Outcome, Verdict, conclude, sleep_ms};
use crate::cluster::{Cluster, Event, Shape};

/// The longest lease (`maxHoldMs`, 10 s), `contactMs` (3 s) and the span of the rule (3 s), doubled.
const WAIT_MS: u64 = 32_000;

pub fn run(has_trouble: bool, path: &Path) -> Outcome {
    let mut cluster = Cluster::start(Shape::default()).map_err(|cause| cause.to_string())?;
    cluster.wait_ready()?;
    let record = cluster.record.clone();
    let id = "0000000000070001";
    let body = "{\"spec\":\"ms=6000\",\"steps\":[{\"count\":4,\"cpu\":2000,\"memMb\":2048,\
                \"estimateMs\":6000}]}";
    cluster.submit(id, body)?;
    let start = cluster.wait_event(10, |event| event.word == "start");
    let removed = start.ok_or("no task started")?.worker;
    sleep_ms(1_500);
    if has_trouble {
        cluster.remove_side(removed);
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
        Verdict::Broken(format!(
            "LOST: 34 s after the machine of its tasks was removed the job is {state} with nothing \
             running, on four idle workers"
        ))
    } else {
        Verdict::Held(format!("the job is {state}"))
    };
    Ok(conclude(&record, path, verdict))
}
