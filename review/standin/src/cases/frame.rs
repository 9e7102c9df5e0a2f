//! Many small jobs wait until a large one leaves a worker, and fit on it together.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use super::{Outcome, Verdict, conclude, sleep_ms};
use crate::cluster::{Cluster, Shape};

/// A large job that fills the service: 24 tasks on 4 cores for 24 s. `repair-plan` of dolmaru-sched
/// has up to 32 tasks, 7 cores and 24 s.
const LARGE: &str = "00000000000f0001";
/// All classes of chpsc-dispatch-grown together have 16.2 requests a second.
const JOBS_PER_SECOND: f64 = 16.0;
const JOBS: usize = 480;
const SPEC_BYTES: usize = 4_000;

pub fn run(has_trouble: bool, path: &Path) -> Outcome {
    let shape = Shape {
        workers: 3,
        cpu: 32_000,
        mem_mb: 125_000,
        ..Shape::default()
    };
    let cluster = Cluster::start(shape).map_err(|cause| cause.to_string())?;
    cluster.wait_ready()?;
    let record = cluster.record.clone();
    if has_trouble {
        let body = "{\"spec\":\"ms=24000\",\"steps\":[{\"count\":24,\"cpu\":4000,\"memMb\":4096,\
                    \"estimateMs\":24000}]}";
        cluster.submit(LARGE, body)?;
    }
    let begun = Instant::now();
    let padding = "x".repeat(SPEC_BYTES - "ms=300 pad=".len());
    for job in 0..JOBS {
        let id = format!("00000000001{job:05x}");
        let body = format!(
            "{{\"spec\":\"ms=300 pad={padding}\",\"steps\":[{{\"count\":1,\"cpu\":10,\"memMb\":16,\
             \"estimateMs\":300}}]}}"
        );
        cluster.submit(&id, &body)?;
        let due = Duration::from_secs_f64(job as f64 / JOBS_PER_SECOND);
        std::thread::sleep(due.saturating_sub(begun.elapsed()));
    }
    // RULES.md: jobs are asked for `finish_s` (14 s) after the end of the traffic. The large job
    // has ended before.
    sleep_ms(14_500);
    let started = || {
        let events = record.events();
        let small = events
            .iter()
            .filter(|event| event.word == "start" && event.task.starts_with("00000000001"));
        small
            .map(|event| event.task.clone())
            .collect::<std::collections::BTreeSet<_>>()
            .len()
    };
    let before = started();
    sleep_ms(3_500);
    let after = started();
    let events = record.events();
    let is_running = |event: &&crate::cluster::Event| {
        let is_end = |end: &&crate::cluster::Event| {
            end.word == "end" && end.task == event.task && end.attempt == event.attempt
        };
        event.word == "start" && !events.iter().any(|end| is_end(&end))
    };
    let running = events.iter().filter(is_running).count();
    cluster.state(0, LARGE);
    for job in [0, JOBS / 2, JOBS - 1] {
        cluster.state(1, &format!("00000000001{job:05x}"));
    }
    let waiting = JOBS - after;
    let verdict = if waiting > 0 && before == after && running * 10 < 32_000 {
        Verdict::Broken(format!(
            "LOST: {waiting} of {JOBS} accepted jobs have nothing running for 3 s, 14 s after the last \
             was handed in, while {running} tasks run on 3 workers of 32 cores"
        ))
    } else {
        Verdict::Held(format!("{after} of {JOBS} jobs have run"))
    };
    Ok(conclude(&record, path, verdict))
}
