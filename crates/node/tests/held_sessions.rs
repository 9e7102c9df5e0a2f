//! Tests of sessions to hosts that are still recorded as silent.

#[expect(dead_code, reason = "the stand-ins are shared with other tests")]
mod support;

use std::sync::{Arc, Mutex};

use serde_json::json;
use support::{
    ANY_ADDRESS,
    entry::start_entry,
    host::{Host, update},
    log::Lines,
    memory::Memory,
    worker::heartbeat,
};
use tokio::time::{Duration, Instant, sleep, timeout_at};
use tokio_util::sync::CancellationToken;
use toucanquay_model::{
    graph::Id,
    session::{End, Ending, Start, Update},
};
use toucanquay_node::{entry::Registration, key};
use toucanquay_wire::{Frame, Server, Stream};

/// Time within which an owner must have ordered a start, or recorded a silent host.
const OWNER_TIMEOUT: Duration = Duration::from_secs(10);

/// Time of a slow write of the record.
const SLOW_WRITE: Duration = Duration::from_millis(500);

/// Time for which the host that returns is watched.
const WATCHED: Duration = Duration::from_secs(3);

/// Interval between the updates of a companion.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// A companion whose worker lists its ends in the first update of a session only.
#[derive(Debug, Clone, Default)]
struct Companion {
    ends: Vec<End>,
    starts: Arc<Mutex<Vec<Start>>>,
}

impl Companion {
    /// Serves sessions until the token is cancelled, and registers.
    async fn serve(&self, memory: &Memory, stop: &CancellationToken) {
        let server = Server::bind(ANY_ADDRESS, Lines::default().logger()).await;
        let server = server.expect("a free address");
        let registration = Registration {
            address: server.address(),
            process: 1,
        };
        let (companion, stopped) = (self.clone(), stop.clone());
        tokio::spawn(server.run(stop.clone(), move |stream| {
            let session = companion.clone().run_session(stream);
            let stopped = stopped.clone();
            async move {
                let _ = stopped.run_until_cancelled(session).await;
            }
        }));
        memory.put(&key::host("h2"), &registration.to_bytes());
    }

    async fn run_session(self, mut stream: Stream) {
        let Ok(Some(Frame::Session(epoch))) = stream.recv().await else {
            return;
        };
        for number in 1.. {
            let ends = if number == 1 {
                self.ends.clone()
            } else {
                Vec::new()
            };
            let frame = Frame::Update(Update {
                worker: Some(heartbeat().worker),
                ends,
                ..update("h2", epoch, number)
            });
            if stream.send(&frame).await.is_err() {
                return;
            }
            let next_at = Instant::now() + UPDATE_INTERVAL;
            while let Ok(Ok(Some(frame))) = timeout_at(next_at, stream.recv()).await {
                self.record_starts(frame);
            }
        }
    }

    fn record_starts(&self, frame: Frame) {
        if let Frame::Orders(orders) = frame {
            let mut starts = self.starts.lock().expect("no holder panics");
            starts.extend(orders.starts);
        }
    }

    fn starts(&self) -> Vec<Start> {
        self.starts.lock().expect("no holder panics").clone()
    }

    async fn first_start(&self) -> Option<Start> {
        let deadline = Instant::now() + OWNER_TIMEOUT;
        while self.starts().is_empty() && Instant::now() < deadline {
            sleep(Duration::from_millis(10)).await;
        }
        self.starts().into_iter().next()
    }
}

fn job_record() -> Vec<u8> {
    let policy = json!({ "pool": "desk", "priority": 1, "attempts_max": 3, "stretch": 2.0,
        "slack_ms": 1_000 });
    let job = json!({ "payload": "", "steps": [{ "tasks": 1 }], "schedule": null });
    let record = json!({ "queue": "plans", "policy": policy, "unix_ms": 1, "job": job });
    record.to_string().into_bytes()
}

/// Waits until the owner has recorded a silent host. Returns whether it has.
async fn is_recorded(lines: &Lines) -> bool {
    let deadline = Instant::now() + OWNER_TIMEOUT;
    while lines.of("silent_hosts_recorded").is_empty() && Instant::now() < deadline {
        sleep(Duration::from_millis(10)).await;
    }
    !lines.of("silent_hosts_recorded").is_empty()
}

/// Guards against a task that runs again because its end was in an update that arrived while the
/// session of its host got no orders.
#[tokio::test]
async fn task_that_ended_while_its_host_was_silent_is_not_started_again() {
    let (memory, lines) = (Memory::default(), Lines::default());
    let other = Host::start("h1").await;
    memory.put(&key::host("h1"), &other.registration());
    memory.put(&key::job(Id::new(1)), &job_record());
    let _entry = start_entry(&memory, &lines).await;
    let (before, silent) = (Companion::default(), CancellationToken::new());
    before.serve(&memory, &silent).await;
    let start = before.first_start().await.expect("a start");
    silent.cancel();
    assert!(is_recorded(&lines).await, "not recorded as silent");
    let returned = Companion {
        ends: vec![End {
            number: 1,
            task: start.task,
            attempt: start.attempt,
            ending: Ending::Done,
            checkpoint: None,
        }],
        ..Companion::default()
    };
    let stop = CancellationToken::new();

    memory.slow_down_writes(key::SILENT_HOSTS, SLOW_WRITE);
    returned.serve(&memory, &stop).await;
    sleep(WATCHED).await;

    stop.cancel();
    let starts = returned.starts();
    assert!(starts.is_empty(), "{starts:?}");
    assert!(!lines.of("job_over").is_empty(), "the job isn't done");
}
