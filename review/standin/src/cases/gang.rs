//! A gang with checkpoints is interrupted by the crash of one of its workers.

use std::path::Path;

use super::{Outcome, Verdict, conclude, sleep_ms};
use crate::cluster::{Cluster, Event, Shape};

const WORKERS: usize = 7;
/// RULES.md looks at ends `alone` with no disruption near: `contactMs` is 3 s.
const CALM_US: u64 = 3_000_000;

pub fn run(has_trouble: bool, path: &Path) -> Outcome {
    let shape = Shape {
        workers: WORKERS,
        gangs: true,
        ..Shape::default()
    };
    let mut cluster = Cluster::start(shape).map_err(|cause| cause.to_string())?;
    cluster.wait_ready()?;
    let record = cluster.record.clone();
    let id = "00000000000a0001";
    let body = "{\"spec\":\"ms=6000 saves=500 gang=3\",\"steps\":[{\"count\":3,\"cpu\":12000,\
                \"memMb\":4096,\"estimateMs\":6000,\"gang\":true,\"checkpoints\":true}]}";
    cluster.submit(id, body)?;
    let whole = cluster
        .wait_event(15, |event| event.word == "whole")
        .ok_or("the gang didn't start")?;
    let mut disrupted_until = 0;
    if has_trouble {
        sleep_ms(2_600);
        cluster.crash_worker(whole.worker);
        cluster.break_gang(&whole.task, whole.attempt);
        sleep_ms(1_000);
        cluster
            .start_worker(whole.worker)
            .map_err(|cause| cause.to_string())?;
        disrupted_until = crate::clock::unix_micros();
    }
    let mut state = String::new();
    for _ in 0..30 {
        sleep_ms(1_000);
        state = cluster.state(0, id);
        if state == "done" || state == "failed" {
            break;
        }
    }
    let events = record.events();
    let is_alone = |event: &&Event| {
        let start = events.iter().find(|start| {
            start.word == "start" && start.task == event.task && start.attempt == event.attempt
        });
        let is_calm = start.is_some_and(|start| start.at > disrupted_until + CALM_US);
        event.word == "end" && event.rest == "alone" && is_calm
    };
    let alone = events.iter().filter(is_alone).count();
    let verdict = if alone > 0 {
        Verdict::Broken(format!(
            "GANG: {alone} runs that began more than 3 s after the disruption have ended alone; the job is {state}"
        ))
    } else {
        Verdict::Held(format!("the job is {state}"))
    };
    Ok(conclude(&record, path, verdict))
}
