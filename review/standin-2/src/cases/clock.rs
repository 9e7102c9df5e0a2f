//! The time of day jumps on the machine of a worker that crashes twice.

use std::{thread, time::Duration};

use crate::{
    Outcome,
    cluster::Cluster,
    json::{Value, object},
    record::Record,
};

const JOB: &str = "00000000000000c1";

/// Number of tasks of the job; one fits on a worker.
const TASKS: u64 = 8;

/// Jump of the time of day; it is back before the third life of the worker begins.
const JUMP: Duration = Duration::from_millis(2_000);

/// Times from the jump on.
const FIRST_CRASH: Duration = Duration::from_millis(200);
const SECOND_LIFE: Duration = Duration::from_millis(1_000);
const HANDED_IN: Duration = Duration::from_millis(1_300);
const SECOND_CRASH: Duration = Duration::from_millis(1_700);
const TIME_IS_BACK: Duration = Duration::from_millis(2_000);
const THIRD_LIFE: Duration = Duration::from_millis(2_050);

/// Time after the end of the traffic after which the job is asked for (`finish_s`).
const FINISH: Duration = Duration::from_secs(14);

/// Delay of the first heartbeat of a life.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(20);

pub fn run(record: Record, has_trouble: bool) -> Outcome {
    let mut cluster = Cluster::new(record.clone(), 3);
    if let Err(text) = cluster.start_small(&[&["a"] as &[&str]; 8]) {
        return Outcome::NotRun(text);
    }
    let worker = cluster.workers[7].clone();
    if has_trouble {
        let name = &worker.settings.name;
        record.write(format!("the time of day of {name}'s machine is 2 s ahead"));
        thread::sleep(FIRST_CRASH);
        worker.crash();
        thread::sleep(SECOND_LIFE - FIRST_CRASH);
        worker.begin_ahead(JUMP, ANNOUNCEMENT_DELAY);
        thread::sleep(HANDED_IN - SECOND_LIFE);
    }
    if cluster.submit(0, JOB, &job()) != 200 {
        return Outcome::NotRun("the job wasn't accepted".to_owned());
    }
    if has_trouble {
        thread::sleep(SECOND_CRASH - HANDED_IN);
        worker.crash();
        thread::sleep(TIME_IS_BACK - SECOND_CRASH);
        record.write("the time of day is back");
        thread::sleep(THIRD_LIFE - TIME_IS_BACK);
        worker.begin(ANNOUNCEMENT_DELAY);
    }
    thread::sleep(FINISH - Duration::from_secs(3));
    let is_at_work = (0..60).any(|_| {
        thread::sleep(Duration::from_millis(50));
        !cluster.history.lock().unwrap().running.is_empty()
    });
    let state = cluster.state_anywhere(JOB);
    let starts = cluster.history.lock().unwrap().starts.len();
    match state.as_str() {
        "done" => Outcome::Held,
        state if !is_at_work => Outcome::Broken(vec![format!(
            "job {JOB} is {state} {} s after it was accepted; nothing has run for 3 s on any of 8 \
             idle workers, and its {TASKS} tasks were started {starts} times",
            FINISH.as_secs(),
        )]),
        state => Outcome::NotRun(format!("the job is {state} and at work")),
    }
}

fn job() -> Value {
    let step = object([
        ("count", TASKS.into()),
        ("cpu", 9_000.into()),
        ("memMb", 1_024.into()),
        ("estimateMs", 2_000.into()),
    ]);
    object([
        ("spec", "0:2000:9000:1024".into()),
        ("steps", vec![step].into()),
    ])
}
