//! Workers crash, twice, just after they have started the same task that lasts.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Outcome,
    cluster::Cluster,
    json::{Value, object},
    record::Record,
};

const JOB: &str = "00000000000000a1";

/// Number of tasks of the job.
const TASKS: u64 = 6;

/// Time from a start to the crash of its worker.
const CRASH_DELAY: Duration = Duration::from_millis(150);

/// Time for which a crashed worker is down.
const DOWN_TIME: Duration = Duration::from_millis(1_500);

pub fn run(record: Record, has_trouble: bool) -> Outcome {
    let mut cluster = Cluster::new(record, 2);
    if let Err(text) = cluster.start_small(&[&["a"] as &[&str]; 8]) {
        return Outcome::NotRun(text);
    }
    if has_trouble {
        crash_twice(&cluster);
    }
    if cluster.submit(0, JOB, &job()) != 200 {
        return Outcome::NotRun("the job wasn't accepted".to_owned());
    }
    let state = cluster.wait_state(0, JOB, "failed", Duration::from_secs(15));
    let history = cluster.history.lock().unwrap();
    let failed = history
        .ends
        .iter()
        .filter(|end| end.how == "failed")
        .count();
    match state.as_str() {
        "failed" => Outcome::Broken(vec![format!(
            "job {JOB} is shown as failed; {failed} of its runs have ended `failed`, and nobody has \
             cancelled it"
        )]),
        "running" if history.running.len() as u64 == TASKS => Outcome::Held,
        "running" => Outcome::Broken(vec![format!(
            "{} of {TASKS} tasks are at work 15 s after the job was accepted",
            history.running.len(),
        )]),
        state => Outcome::NotRun(format!("the job is {state}")),
    }
}

/// Crashes the first worker that starts a task of the job, and then the first one that starts a task
/// again that was lost with the other worker.
fn crash_twice(cluster: &Cluster) {
    let is_first_due = Arc::new(AtomicBool::new(true));
    let is_second_due = Arc::new(AtomicBool::new(true));
    for worker in &cluster.workers {
        let (first, second) = (is_first_due.clone(), is_second_due.clone());
        let history = cluster.history.clone();
        worker.on_start(move |worker, task, _| {
            let was_lost = {
                let history = history.lock().unwrap();
                history
                    .ends
                    .iter()
                    .any(|end| end.task == task && end.how == "crash")
            };
            let due = if was_lost { &second } else { &first };
            if due.swap(false, Ordering::SeqCst) {
                let worker = worker.clone();
                thread::spawn(move || {
                    thread::sleep(CRASH_DELAY);
                    worker.crash();
                    thread::sleep(DOWN_TIME);
                    worker.begin(Duration::from_millis(20));
                });
            }
        });
    }
}

fn job() -> Value {
    let step = object([
        ("count", TASKS.into()),
        ("cpu", 3_200.into()),
        ("memMb", 6_400.into()),
        ("estimateMs", 2_000.into()),
        ("perpetual", true.into()),
    ]);
    object([
        ("spec", "0:0:3200:6400".into()),
        ("steps", vec![step].into()),
    ])
}
