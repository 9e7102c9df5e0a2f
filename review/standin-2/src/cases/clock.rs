//! The time of day jumps on the machine of a worker that crashes twice.

use std::{thread, time::Duration};

use crate::{
    Outcome,
    cluster::Cluster,
    json::{Value, object},
    record::Record,
};

const JOB: &str = "00000000000000c1";

/// Jump of the time of day; it is back after [`AHEAD_FOR`].
const JUMP: Duration = Duration::from_millis(2_000);
const AHEAD_FOR: Duration = Duration::from_millis(2_000);

/// Times of the crashes and of the next lives, from the jump on.
const FIRST_CRASH: Duration = Duration::from_millis(200);
const SECOND_LIFE: Duration = Duration::from_millis(1_000);
const SECOND_CRASH: Duration = Duration::from_millis(1_700);
const THIRD_LIFE: Duration = Duration::from_millis(2_500);

/// Calm time before the job is handed in (`contactMs` and more).
const CALM: Duration = Duration::from_secs(4);

/// Time after the end of the traffic after which the job is asked for (`finish_s`).
const FINISH: Duration = Duration::from_secs(14);

/// Delay of the first heartbeat of a life.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(20);

pub fn run(record: Record, has_trouble: bool) -> Outcome {
    let mut cluster = Cluster::new(record.clone(), 3);
    let mut labels = [&["a"] as &[&str]; 8];
    labels[7] = &["b"];
    if let Err(text) = cluster.start_small(&labels) {
        return Outcome::NotRun(text);
    }
    if has_trouble {
        disturb(&cluster, &record);
    }
    thread::sleep(CALM);
    if cluster.submit(0, JOB, &job()) != 200 {
        return Outcome::NotRun("the job wasn't accepted".to_owned());
    }
    record.write("end of the traffic");
    thread::sleep(FINISH);
    let state = cluster.state_anywhere(JOB);
    let history = cluster.history.lock().unwrap();
    match state.as_str() {
        "done" => Outcome::Held,
        state if history.starts.is_empty() => Outcome::Broken(vec![format!(
            "job {JOB} is {state} {} s after it was accepted, and none of its tasks was ever \
             started; the worker with its label is up and idle",
            FINISH.as_secs(),
        )]),
        state => Outcome::NotRun(format!("the job was started and is {state}")),
    }
}

/// The time of day of the worker's machine jumps ahead and is back later. The worker crashes before
/// and after its second life begins, which is while the time is ahead.
fn disturb(cluster: &Cluster, record: &Record) {
    let worker = &cluster.workers[7];
    record.write(format!(
        "the time of day of {}'s machine is 2 s ahead",
        worker.settings.name
    ));
    thread::sleep(FIRST_CRASH);
    worker.crash();
    thread::sleep(SECOND_LIFE - FIRST_CRASH);
    worker.begin_ahead(JUMP, ANNOUNCEMENT_DELAY);
    thread::sleep(SECOND_CRASH - SECOND_LIFE);
    worker.crash();
    thread::sleep(AHEAD_FOR - SECOND_CRASH);
    record.write("the time of day is back");
    thread::sleep(THIRD_LIFE - AHEAD_FOR);
    worker.begin(ANNOUNCEMENT_DELAY);
}

/// Returns a job that needs the worker with the label `b`.
fn job() -> Value {
    let step = object([
        ("count", 2.into()),
        ("cpu", 1_000.into()),
        ("memMb", 1_024.into()),
        ("estimateMs", 500.into()),
        ("requires", "b".into()),
    ]);
    object([
        ("spec", "0:500:1000:1024".into()),
        ("steps", vec![step].into()),
    ])
}
