//! The store carries out a part of the writes late and doesn't answer them, while clients hand in
//! jobs and cancel those that get no answer.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    cluster::{CLIENT_TIMEOUT, Cluster, PREFIX, call_entry},
    json::{Value, object},
    record::Record,
    store::Fate,
};

/// Time for which a part of the writes is late.
const LATE_FOR: Duration = Duration::from_millis(4_500);

/// One of so many writes is late.
const LATE_ONE_OF: u64 = 3;

/// Time after which a late write is carried out.
const LATE_BY: Duration = Duration::from_millis(6_000);

/// Clients, each of which hands in one job, and the interval between them.
const CLIENTS: u64 = 200;
const CLIENT_INTERVAL: Duration = Duration::from_millis(22);

/// So many of five clients leave before their deadline, and cancel their job.
const LEAVING_OF_FIVE: u64 = 2;

/// Time after which they leave.
const PATIENCE: Duration = Duration::from_millis(900);

/// Retries of the other clients, and the pause before each.
const RETRIES: usize = 4;
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Attempts to cancel a job.
const CANCEL_ATTEMPTS: usize = 5;

/// Time after a cancelling is acknowledged after which no task of the job starts (`cancel_ms`).
const CANCEL_S: f64 = 3.0;

/// Time after the end of a disruption of the store after which machines are in touch (`contactMs`).
const CONTACT_S: f64 = 3.0;

/// Time for which starts are watched after the end of the disruption.
const WATCHED_FOR: Duration = Duration::from_secs(16);

pub fn run(record: Record, has_trouble: bool) -> Outcome {
    let mut cluster = Cluster::new(record.clone(), 3);
    if let Err(text) = cluster.start_small(&[&["a"] as &[&str]; 8]) {
        return Outcome::NotRun(text);
    }
    if has_trouble {
        let writes = AtomicU64::new(0);
        let store_record = record.clone();
        cluster.store.set_fates(move |transaction| {
            let number = writes.fetch_add(1, Ordering::SeqCst);
            if mixed(number) % LATE_ONE_OF != 0 {
                return Fate::Normal;
            }
            let keys = transaction.get("writes").list().iter();
            let keys: Vec<&str> = keys.filter_map(|write| write.get("key").text()).collect();
            store_record.write(format!(
                "store: the write of {keys:?} is carried out in 6 s"
            ));
            Fate::Late(LATE_BY)
        });
        record.write("the store begins to carry out writes late");
    }
    let cancelled: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    let until = Instant::now() + LATE_FOR;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let client = start_client(&cluster, &record, number, &cancelled);
            thread::sleep(CLIENT_INTERVAL);
            client
        })
        .collect();
    thread::sleep(until.saturating_duration_since(Instant::now()));
    cluster.store.clear_fates();
    let calm_at = record.seconds();
    let (writes, late) = cluster.store.counts();
    record.write(format!(
        "all writes in time from now on; late so far: {late} of {writes}"
    ));
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(WATCHED_FOR);
    // Counted from the last late write, not from the end of the time in which answers were lost.
    let in_touch_at = calm_at + LATE_BY.as_secs_f64() + CONTACT_S;
    let cancelled = cancelled.lock().unwrap();
    let history = cluster.history.lock().unwrap();
    let mut broken = Vec::new();
    for start in &history.starts {
        let job = start.task.split('.').next().unwrap_or_default();
        let Some(cancelled_at) = cancelled.get(job) else {
            continue;
        };
        if start.at > cancelled_at + CANCEL_S && start.at > in_touch_at {
            broken.push(format!(
                "task {} starts on {} at {:.1} s; the cancelling of its job was acknowledged at \
                 {cancelled_at:.1} s, and all machines are in touch from {in_touch_at:.1} s on",
                start.task, start.worker, start.at,
            ));
        }
    }
    record.write(format!("{} jobs were cancelled", cancelled.len()));
    if broken.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken(broken)
    }
}

/// Spreads consecutive numbers, so that late writes come in no pattern.
fn mixed(number: u64) -> u64 {
    let mixed = (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed >> 40
}

/// Hands in one job. A client that leaves sends it once; without an answer that says whether it was
/// accepted, it cancels the job until that is acknowledged. The others send it again.
fn start_client(
    cluster: &Cluster,
    record: &Record,
    number: u64,
    cancelled: &Arc<Mutex<HashMap<String, f64>>>,
) -> thread::JoinHandle<()> {
    let entries: Vec<_> = cluster.entries.iter().map(|entry| entry.clients).collect();
    let (record, cancelled) = (record.clone(), cancelled.clone());
    thread::spawn(move || {
        let id = format!("d{number:015x}");
        let path = format!("{PREFIX}{id}");
        let entry = |attempt: usize| entries[(number as usize + attempt) % entries.len()];
        let submit = |attempt: usize, timeout: Duration| {
            call_entry(
                &record,
                entry(attempt),
                "POST",
                &path,
                &job().to_string(),
                timeout,
            )
            .0
        };
        if number % 5 >= LEAVING_OF_FIVE {
            let mut attempts = 0..=RETRIES;
            attempts.find(|attempt| {
                let is_accepted = submit(*attempt, CLIENT_TIMEOUT) == 200;
                if !is_accepted {
                    thread::sleep(RETRY_PAUSE);
                }
                is_accepted
            });
            return;
        }
        if !matches!(submit(0, PATIENCE), 0 | 502 | 504) {
            return;
        }
        for attempt in 1..=CANCEL_ATTEMPTS {
            let entry = entry(attempt);
            let (status, _) = call_entry(&record, entry, "DELETE", &path, "", CLIENT_TIMEOUT);
            if status == 410 || (200..300).contains(&status) {
                cancelled.lock().unwrap().insert(id, record.seconds());
                return;
            }
        }
    })
}

/// Returns a job of two steps. The second one starts after the last late write was carried out.
fn job() -> Value {
    let step = |estimate_ms: u64, after: Vec<Value>| {
        object([
            ("count", 1.into()),
            ("cpu", 300.into()),
            ("memMb", 256.into()),
            ("estimateMs", estimate_ms.into()),
            ("after", after.into()),
        ])
    };
    let steps = vec![step(5_500, Vec::new()), step(500, vec![0.into()])];
    object([
        ("spec", "0:5500:300:256 1:500:300:256".into()),
        ("steps", steps.into()),
    ])
}
