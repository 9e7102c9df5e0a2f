//! Tests of owners that follow one another while a host is silent.

#[expect(dead_code, reason = "the stand-ins are shared with other tests")]
mod support;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use support::{
    ANY_ADDRESS,
    entry::{start_entry, start_named_entry},
    free_address,
    host::{Host, update},
    log::Lines,
    memory::Memory,
};
use tokio::time::{Duration, Instant, sleep, timeout_at};
use tokio_util::sync::CancellationToken;
use toucanquay_node::{entry::Registration, key};
use toucanquay_wire::{Frame, Server, Stream};

/// Time within which an owner must have waited for a host that is silent.
const WAITED_WITHIN: Duration = Duration::from_secs(10);

/// Time that a second owner may wait for a host whose lease the first one has seen end.
const SECOND_WAIT: Duration = Duration::from_secs(2);

/// Time within which a host that returns must get orders.
const ORDERS_WITHIN: Duration = Duration::from_secs(3);

/// Time of a slow write.
const SLOW_WRITE: Duration = Duration::from_millis(500);

/// Interval between the updates of a companion.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

fn registration(address: SocketAddr) -> Vec<u8> {
    Registration {
        address,
        process: 1,
    }
    .to_bytes()
}

/// Waits until an event was logged. Returns whether it was within the timeout.
async fn is_logged(lines: &Lines, event: &str, within: Duration) -> bool {
    let deadline = Instant::now() + within;
    while Instant::now() < deadline {
        if !lines.of(event).is_empty() {
            return true;
        }
        sleep(Duration::from_millis(10)).await;
    }
    false
}

fn record(memory: &Memory) -> String {
    let item = memory.get(key::SILENT_HOSTS);
    let value = item.map(|item| item.value).unwrap_or_default();
    String::from_utf8(value).expect("a text")
}

/// Guards against jobs that stand still after each of several takeovers, because each owner waits
/// anew for a host that is gone.
#[tokio::test]
async fn second_owner_does_not_wait_anew_for_a_lost_host() {
    let (memory, lines, later_lines) = (Memory::default(), Lines::default(), Lines::default());
    let (first, second) = (Host::start("h1").await, Host::start("h2").await);
    memory.put(&key::host("h1"), &first.registration());
    memory.put(&key::host("h2"), &second.registration());
    memory.put(&key::host("lost"), &registration(free_address()));
    let owner = start_entry(&memory, &lines).await;
    let _successor = start_named_entry("front-2", free_address(), &memory, &later_lines).await;
    let has_waited = is_logged(&lines, "takeover_completed", WAITED_WITHIN).await;

    owner.drain(Instant::now()).await;
    let is_followed = is_logged(&later_lines, "owner_started", SECOND_WAIT).await;
    let is_released = is_logged(&later_lines, "takeover_completed", SECOND_WAIT).await;

    assert!(has_waited && is_followed, "no takeover");
    assert!(
        is_released,
        "the second owner still waits: {:?}",
        later_lines.of("takeover_waiting")
    );
}

/// A companion that keeps what the record of silent hosts holds when orders arrive.
#[derive(Debug, Clone)]
struct ReturningHost {
    memory: Memory,
    records: Arc<Mutex<Vec<String>>>,
}

impl ReturningHost {
    async fn serve(self, mut stream: Stream) {
        let Ok(Some(Frame::Session(epoch))) = stream.recv().await else {
            return;
        };
        for number in 1.. {
            let frame = Frame::Update(update("lost", epoch, number));
            if stream.send(&frame).await.is_err() {
                return;
            }
            let next_at = Instant::now() + UPDATE_INTERVAL;
            while let Ok(Ok(Some(_orders))) = timeout_at(next_at, stream.recv()).await {
                let mut records = self.records.lock().expect("no holder panics");
                records.push(record(&self.memory));
            }
        }
    }
}

/// Guards against a host that gets orders, which extend its lease, while its leases count as ended
/// for the next owner.
#[tokio::test]
async fn host_that_returns_gets_orders_once_it_is_not_recorded_as_silent() {
    let (memory, lines) = (Memory::default(), Lines::default());
    let other = Host::start("h1").await;
    memory.put(&key::host("h1"), &other.registration());
    memory.put(&key::host("lost"), &registration(free_address()));
    let _entry = start_entry(&memory, &lines).await;
    let is_recorded = is_logged(&lines, "silent_hosts_recorded", WAITED_WITHIN).await;
    sleep(UPDATE_INTERVAL).await;
    let recorded = record(&memory);
    let stop = CancellationToken::new();
    let server = Server::bind(ANY_ADDRESS, lines.logger()).await;
    let server = server.expect("a free address");
    let host = ReturningHost {
        memory: memory.clone(),
        records: Arc::default(),
    };
    let (address, serving) = (server.address(), host.clone());
    tokio::spawn(server.run(stop.clone(), move |stream| serving.clone().serve(stream)));

    memory.slow_down_writes(key::SILENT_HOSTS, SLOW_WRITE);
    memory.put(&key::host("lost"), &registration(address));
    sleep(ORDERS_WITHIN).await;

    stop.cancel();
    let records = host.records.lock().expect("no holder panics").clone();
    assert!(is_recorded && recorded.contains("lost"), "{recorded}");
    assert!(!records.is_empty(), "it gets no orders");
    assert!(
        records.iter().all(|record| !record.contains("lost")),
        "{records:?}"
    );
}
