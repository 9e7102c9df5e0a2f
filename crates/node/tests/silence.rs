//! Tests of peers that fall silent while their connections stay open.

#[expect(dead_code, reason = "the stand-ins are shared with other tests")]
mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

use support::{log::Lines, memory::Memory};
use tokio::time::{Duration, Instant, sleep, timeout_at};
use tokio_util::sync::CancellationToken;
use toucanquay_model::{Resources, Time, session};
use toucanquay_node::{
    Configuration, Entry,
    configuration::Source,
    entry::{self, Registration},
    key,
};
use toucanquay_wire::{Frame, Server, Stream};

/// Time within which an owner must have a session to a companion.
const SESSION_TIMEOUT: Duration = Duration::from_secs(8);

/// Time within which an owner must have closed a session to a silent companion.
const NOTICED_WITHIN: Duration = Duration::from_secs(3);

/// Interval between the updates of a companion.
const UPDATE_INTERVAL: Duration = Duration::from_millis(400);

fn any_address() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind(any_address()).expect("a free address");
    listener.local_addr().expect("the bound address")
}

async fn start_entry(memory: &Memory, lines: &Lines) -> Entry {
    let settings = entry::Settings {
        name: "front-1".to_owned(),
        process: 1,
        listen: free_address(),
        capacity: 1,
        configuration_bound: Duration::from_millis(2_000),
    };
    let source = Source {
        key: "configuration".to_owned(),
        decode: Arc::new(|_bytes| Ok(Configuration::default())),
    };
    let entry = Entry::start(settings, memory.store(), source, &lines.logger()).await;
    entry.expect("the entry starts")
}

/// A companion that reads all orders and can stop sending updates.
#[derive(Debug, Clone)]
struct Host {
    address: SocketAddr,
    is_silent: Arc<AtomicBool>,
    /// Number of orders received since it fell silent.
    orders: Arc<AtomicUsize>,
}

impl Host {
    async fn start(name: &'static str, stop: CancellationToken) -> Self {
        let server = Server::bind(any_address(), Lines::default().logger()).await;
        let server = server.expect("a free address");
        let host = Self {
            address: server.address(),
            is_silent: Arc::default(),
            orders: Arc::default(),
        };
        let serving = host.clone();
        tokio::spawn(server.run(stop, move |stream| serving.clone().serve(name, stream)));
        host
    }

    async fn serve(self, name: &'static str, mut stream: Stream) {
        let Ok(Some(Frame::Session(epoch))) = stream.recv().await else {
            return;
        };
        for number in 1.. {
            if self.is_silent.load(Ordering::Relaxed) {
                break;
            }
            let frame = Frame::Update(update(name, epoch, number));
            if stream.send(&frame).await.is_err() {
                return;
            }
            let next_at = Instant::now() + UPDATE_INTERVAL;
            while let Ok(Ok(Some(_orders))) = timeout_at(next_at, stream.recv()).await {}
        }
        while let Ok(Some(Frame::Orders(_))) = stream.recv().await {
            self.orders.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn registration(&self) -> Vec<u8> {
        let address = self.address;
        Registration {
            address,
            process: 1,
        }
        .to_bytes()
    }
}

fn update(name: &str, epoch: u64, number: u64) -> session::Update {
    session::Update {
        host: name.to_owned(),
        process: 1,
        number,
        stamp: Time::from_millis(1_000_000),
        epoch,
        applied: 0,
        is_settled: true,
        has_sample: false,
        worker: Some(session::Worker {
            incarnation: 1_000,
            pool: "desk".to_owned(),
            capacity: Resources::ZERO,
            labels: Default::default(),
            is_draining: false,
            remaining_ms: None,
        }),
        runs: Vec::new(),
        ends: Vec::new(),
        crashes: Vec::new(),
    }
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

/// Guards against an owner that regards a silent companion as alive, because each of its own orders
/// starts the time anew for which it waits for an update.
#[tokio::test]
async fn companion_that_falls_silent_while_it_gets_orders_is_noticed() {
    let (memory, lines) = (Memory::default(), Lines::default());
    let stop = CancellationToken::new();
    let host = Host::start("side-1", stop.clone()).await;
    memory.put(&key::host("side-1"), &host.registration());
    let _entry = start_entry(&memory, &lines).await;
    let was_opened = is_logged(&lines, "session_opened", SESSION_TIMEOUT).await;

    host.is_silent.store(true, Ordering::Relaxed);
    let is_noticed = is_logged(&lines, "session_lost", NOTICED_WITHIN).await;

    stop.cancel();
    assert!(was_opened, "no session");
    let orders = host.orders.load(Ordering::Relaxed);
    assert!(
        is_noticed,
        "{orders} orders were sent to a silent companion"
    );
}
