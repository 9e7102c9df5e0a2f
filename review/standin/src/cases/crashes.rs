//! Two workers crash, one after the other, soon after they have started the same task.

use std::path::Path;

use super::{Outcome, Verdict, conclude, sleep_ms};
use crate::cluster::{Cluster, Shape};

/// One of 7 is less than the 0.15 that `kinds` gives for `srv_crash`.
const WORKERS: usize = 7;
const CRASH_DELAY_MS: u64 = 100;
const DOWN_MS: u64 = 1_000;

pub fn run(has_trouble: bool, path: &Path) -> Outcome {
    let shape = Shape {
        workers: WORKERS,
        ..Shape::default()
    };
    let mut cluster = Cluster::start(shape).map_err(|cause| cause.to_string())?;
    cluster.wait_ready()?;
    let record = cluster.record.clone();
    let id = "00000000000c0001";
    let body = "{\"spec\":\"ms=2000\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":512,\
                \"estimateMs\":2000}]}";
    cluster.submit(id, body)?;
    let mut last_attempt = 0;
    for _ in 0..2 {
        let is_next =
            |event: &crate::cluster::Event| event.word == "start" && event.attempt > last_attempt;
        let start = cluster
            .wait_event(15, is_next)
            .ok_or("the task didn't start")?;
        last_attempt = start.attempt;
        if !has_trouble {
            break;
        }
        sleep_ms(CRASH_DELAY_MS);
        cluster.crash_worker(start.worker);
        sleep_ms(DOWN_MS);
        cluster
            .start_worker(start.worker)
            .map_err(|cause| cause.to_string())?;
    }
    let mut state = String::new();
    for _ in 0..20 {
        sleep_ms(1_000);
        state = cluster.state(0, id);
        if state == "done" || state == "failed" {
            break;
        }
    }
    let events = record.events();
    let failed = events
        .iter()
        .filter(|event| event.word == "end" && event.rest == "failed")
        .count();
    let verdict = if state == "failed" {
        Verdict::Broken(format!(
            "LOST: the job is shown as failed, although {failed} runs have ended failed (maxAttempts is 3)"
        ))
    } else {
        Verdict::Held(format!("the job is {state}"))
    };
    Ok(conclude(&record, path, verdict))
}
