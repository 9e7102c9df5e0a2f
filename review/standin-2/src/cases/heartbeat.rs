//! A heartbeat from another writer has a field of another type.

use std::{thread, time::Duration};

use crate::{
    Outcome,
    cluster::Cluster,
    json::{Value, object},
    record::Record,
};

/// Sequence number of the heartbeat from another writer.
const FOREIGN_SEQUENCE: u64 = 1_000;

/// Time for which tasks are started.
const WATCHED_FOR: Duration = Duration::from_secs(8);

pub fn run(record: Record, has_trouble: bool) -> Outcome {
    let mut cluster = Cluster::new(record.clone(), 3);
    if let Err(text) = cluster.start_small(&[&["a"] as &[&str]; 8]) {
        return Outcome::NotRun(text);
    }
    if has_trouble {
        let worker = &cluster.workers[0];
        let heartbeat = foreign_heartbeat(&worker.heartbeat()).to_string();
        let status = worker.send_to_companion(&heartbeat);
        record.write(format!(
            "heartbeat from another writer: {heartbeat} -> {status:?}"
        ));
        if status != Some(200) {
            return Outcome::NotRun("the heartbeat didn't arrive".to_owned());
        }
        thread::sleep(Duration::from_millis(500));
    }
    let step = object([
        ("count", 24.into()),
        ("cpu", 8_000.into()),
        ("memMb", 4_096.into()),
        ("estimateMs", 3_000.into()),
    ]);
    let job = object([
        ("spec", "0:3000:8000:4096".into()),
        ("steps", vec![step].into()),
    ]);
    if cluster.submit(0, "00000000000000e1", &job) != 200 {
        return Outcome::NotRun("the job wasn't accepted".to_owned());
    }
    thread::sleep(WATCHED_FOR);
    let history = cluster.history.lock().unwrap();
    if history.starts.is_empty() {
        return Outcome::NotRun("nothing was started".to_owned());
    }
    if history.overloads.is_empty() {
        return Outcome::Held;
    }
    Outcome::Broken(history.overloads.clone())
}

/// Returns a worker's heartbeat in which the number of accelerators is a text, and the rest of the
/// capacity is another one.
fn foreign_heartbeat(heartbeat: &Value) -> Value {
    let Value::Object(fields) = heartbeat else {
        return Value::Null;
    };
    let fields = fields.iter().map(|(name, value)| {
        let value = match name.as_str() {
            "capacity" => object([
                ("cpu", 64_000.into()),
                ("memMb", 256_000.into()),
                ("gpu", "none".into()),
            ]),
            "seq" => FOREIGN_SEQUENCE.into(),
            _ => value.clone(),
        };
        (name.clone(), value)
    });
    Value::Object(fields.collect())
}
