//! More than 500 ends wait on one worker while the store is down.

use std::path::Path;

use super::{Outcome, Verdict, conclude, count_restarted, find_twice, sleep_ms};
use crate::cluster::{Cluster, Shape};

const JOBS: usize = 20;
const TASKS_PER_JOB: usize = 36;
/// The site's days have 4.2 to 5.2 requests a second.
const JOB_INTERVAL_MS: u64 = 200;
/// The site files' longest outage of the store is 4.5 s.
const OUTAGE_MS: u64 = 4_400;

pub fn run(has_trouble: bool, path: &Path) -> Outcome {
    let cluster = Cluster::start(Shape::default()).map_err(|cause| cause.to_string())?;
    cluster.wait_ready()?;
    let record = cluster.record.clone();
    let ids: Vec<String> = (0..JOBS)
        .map(|job| format!("00000000000e{job:04x}"))
        .collect();
    for (job, id) in ids.iter().enumerate() {
        // All jobs end at about the same time: 7.5 s to 8.9 s after the first one was handed in.
        let work_ms = 3_700 + (JOBS - 1 - job) as u64 * JOB_INTERVAL_MS;
        let body = format!(
            "{{\"spec\":\"ms={work_ms} step=40\",\"steps\":[{{\"count\":{TASKS_PER_JOB},\
             \"cpu\":20,\"memMb\":64,\"estimateMs\":{work_ms}}}]}}"
        );
        cluster.submit(id, &body)?;
        sleep_ms(JOB_INTERVAL_MS);
    }
    let all_started = || {
        let events = record.events();
        events.iter().filter(|event| event.word == "start").count() >= JOBS * TASKS_PER_JOB
    };
    for _ in 0..100 {
        if all_started() {
            break;
        }
        sleep_ms(50);
    }
    if !all_started() {
        record.write(path);
        return Err("the tasks didn't all start".to_owned());
    }
    let ended = cluster.wait_event(15, |event| event.word == "end");
    ended.ok_or("no task ended")?;
    if has_trouble {
        record.note("the store is down");
        cluster.store.set_down(true);
    }
    sleep_ms(OUTAGE_MS);
    if has_trouble {
        cluster.store.set_down(false);
        record.note("the store is back");
    }
    for round in 0..40 {
        sleep_ms(500);
        if round > 15
            && cluster.state(0, &ids[0]) == "done"
            && cluster.state(1, &ids[JOBS - 1]) == "done"
        {
            break;
        }
    }
    for id in &ids {
        cluster.state(0, id);
    }
    let verdict = match find_twice(&record) {
        Some(twice) => Verdict::Broken(format!(
            "TWICE: {twice}; {} of {} tasks were started again",
            count_restarted(&record),
            JOBS * TASKS_PER_JOB
        )),
        None => Verdict::Held("each task ran once".to_owned()),
    };
    Ok(conclude(&record, path, verdict))
}
