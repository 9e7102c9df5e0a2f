//! A worker that runs a member of a gang with checkpoints crashes.

use std::{collections::BTreeSet, thread, time::Duration};

use crate::{
    Outcome,
    cluster::Cluster,
    json::{Value, object},
    record::Record,
};

const JOB: &str = "00000000000000b1";

/// Time from the job's acceptance to the crash: the members have written two checkpoints.
const CRASH_DELAY: Duration = Duration::from_millis(2_700);

/// Time for which the crashed worker is down.
const DOWN_TIME: Duration = Duration::from_millis(1_500);

pub fn run(record: Record, has_trouble: bool) -> Outcome {
    let mut cluster = Cluster::new(record, 3);
    if let Err(text) = cluster.start_small(&[&["a"] as &[&str]; 8]) {
        return Outcome::NotRun(text);
    }
    if cluster.submit(0, JOB, &job()) != 200 {
        return Outcome::NotRun("the job wasn't accepted".to_owned());
    }
    thread::sleep(CRASH_DELAY);
    let first = cluster.history.lock().unwrap().starts.first().cloned();
    let Some(first) = first else {
        return Outcome::NotRun("nothing was started".to_owned());
    };
    if has_trouble {
        let mut workers = cluster.workers.iter();
        let worker = workers.find(|worker| worker.settings.name == first.worker);
        let worker = worker.expect("a known worker");
        worker.crash();
        thread::sleep(DOWN_TIME);
        worker.begin(Duration::from_millis(20));
    }
    let state = cluster.wait_state(0, JOB, "done", Duration::from_secs(25));
    let starts = cluster.history.lock().unwrap().starts.clone();
    let runs: BTreeSet<u64> = starts.iter().map(|start| start.attempt).collect();
    let mut broken = Vec::new();
    for run in runs {
        let members = starts.iter().filter(|start| start.attempt == run);
        let values: BTreeSet<&str> = members.map(|start| start.checkpoint.as_str()).collect();
        if values.len() > 1 {
            broken.push(format!(
                "the members of run {run} of the gang are started with different checkpoints: \
                 {values:?}"
            ));
        }
    }
    match state.as_str() {
        _ if !broken.is_empty() => Outcome::Broken(broken),
        "done" => Outcome::Held,
        state => Outcome::NotRun(format!("the job is {state}")),
    }
}

fn job() -> Value {
    let step = object([
        ("count", 4.into()),
        ("cpu", 9_000.into()),
        ("memMb", 1_024.into()),
        ("estimateMs", 6_000.into()),
        ("checkpoints", true.into()),
        ("gang", true.into()),
    ]);
    object([
        ("spec", "0:6000:9000:1024:g4c".into()),
        ("steps", vec![step].into()),
    ])
}
