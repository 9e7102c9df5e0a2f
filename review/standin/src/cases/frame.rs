//! Many small jobs wait while a job that lasts fills the service, and fit on a worker together when
//! it is cancelled.

use std::{
    collections::BTreeSet,
    path::Path,
    time::{Duration, Instant},
};

use super::{Outcome, Verdict, conclude, sleep_ms};
use crate::cluster::{Cluster, Event, Shape};

/// A job that lasts, like `auger-watch` of chpsc-dispatch: up to 12 tasks on up to 5.1 cores, for 70 s
/// in the mean. Here 12 tasks on 4 cores fill 3 workers of 16 cores.
const LASTING: &str = "00000000000f0001";
/// The site's day scale-2 has 5.23 requests a second.
const JOBS_PER_SECOND: f64 = 5.2;
const JOBS: usize = 364;
/// The job that lasts is cancelled after this many small jobs, 66 s after it was handed in.
const JOBS_UNTIL_CANCEL: usize = 343;
const SPEC_BYTES: usize = 4_000;
const CPU: usize = 10;
const WORKERS: usize = 3;
const CORES: usize = 16;

pub fn run(has_trouble: bool, path: &Path) -> Outcome {
    let shape = Shape {
        workers: WORKERS,
        cpu: CORES as u64 * 1_000,
        ..Shape::default()
    };
    let cluster = Cluster::start(shape).map_err(|cause| cause.to_string())?;
    cluster.wait_ready()?;
    let record = cluster.record.clone();
    if has_trouble {
        let body = "{\"spec\":\"ms=600000\",\"steps\":[{\"count\":12,\"cpu\":4000,\
                    \"memMb\":6400,\"estimateMs\":70000,\"perpetual\":true}]}";
        cluster.submit(LASTING, body)?;
    }
    let begun = Instant::now();
    let padding = "x".repeat(SPEC_BYTES - "ms=300 pad=".len());
    for job in 0..JOBS {
        if has_trouble && job == JOBS_UNTIL_CANCEL {
            cluster.request(0, "DELETE", LASTING, "");
        }
        let body = format!(
            "{{\"spec\":\"ms=300 pad={padding}\",\"steps\":[{{\"count\":1,\"cpu\":{CPU},\
             \"memMb\":16,\"estimateMs\":300}}]}}"
        );
        cluster.submit(&job_id(job), &body)?;
        let due = Duration::from_secs_f64((job + 1) as f64 / JOBS_PER_SECOND);
        std::thread::sleep(due.saturating_sub(begun.elapsed()));
    }
    // RULES.md: jobs are asked for `finish_s` (14 s) after the end of the traffic.
    sleep_ms(14_500);
    let started = || {
        let events = record.events();
        let starts = events.iter().filter(|event| is_small_start(event));
        starts
            .map(|event| event.task.clone())
            .collect::<BTreeSet<_>>()
            .len()
    };
    let before = started();
    sleep_ms(3_500);
    let after = started();
    let events = record.events();
    let is_running = |start: &&Event| {
        let is_end = |end: &Event| {
            end.word == "end" && end.task == start.task && end.attempt == start.attempt
        };
        start.word == "start" && !events.iter().any(is_end)
    };
    let running = events.iter().filter(is_running).count();
    if has_trouble {
        cluster.state(0, LASTING);
    }
    let mut shown_done = 0;
    for job in 0..JOBS {
        shown_done += usize::from(cluster.state(job % 3, &job_id(job)) == "done");
    }
    let waiting = JOBS - after;
    let has_stood_still = waiting > 0 && before == after;
    let verdict = if has_stood_still && running * CPU < CORES * 1_000 {
        Verdict::Broken(format!(
            "LOST: {waiting} of {JOBS} accepted jobs have nothing running for 3 s, 14 s after the last \
             was handed in, while {running} tasks run on {WORKERS} workers of {CORES} cores; \
             {shown_done} are shown as done"
        ))
    } else {
        Verdict::Held(format!(
            "{after} of {JOBS} jobs have run, {shown_done} are shown as done"
        ))
    };
    Ok(conclude(&record, path, verdict))
}

fn job_id(job: usize) -> String {
    format!("00000000001{job:05x}")
}

fn is_small_start(event: &Event) -> bool {
    event.word == "start" && event.task.starts_with("00000000001")
}
