//! Fake companion.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use slog::{Discard, Logger, o};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Mutex as AsyncMutex, watch},
    time::Instant,
};
use tokio_util::sync::{CancellationToken, DropGuard};
use toucanquay_model::{
    Error, ErrorKind, Incarnation, Resources, request::Id, request::Verdict,
    upstream::Announcement, worker,
};
use toucanquay_wire::{
    End, Failure, Frame, Pool, Server, Stream, heartbeat::Heartbeat, request, response,
};

use super::{Behavior, SERVICE, Script, TEAM, WAIT_TIMEOUT, script::ReceivedRequest};

/// Interval between heartbeats, far below the time after which an entry removes an upstream.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// A fake companion, which stops when dropped.
pub struct Companion {
    state: Arc<State>,
    _stop: DropGuard,
}

struct State {
    name: String,
    address: SocketAddr,
    entries: Vec<SocketAddr>,
    script: Arc<Script>,
    pool: Pool,
    incarnation: AtomicU64,
    is_leaving: AtomicBool,
    /// Sequence number of the last heartbeat. Locked while a heartbeat is sent, so that heartbeats
    /// stay in order.
    sequence: AsyncMutex<u64>,
    /// Verdict on each request, with the stored response for a repeat.
    ledger: Mutex<HashMap<Id, (Verdict, String)>>,
    /// A change breaks all connections.
    disconnects: watch::Sender<u32>,
    connections: AtomicUsize,
}

impl Companion {
    /// Starts a companion that sends heartbeats to `entries`.
    pub async fn start(name: &str, entries: &[SocketAddr], script: Arc<Script>) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::bind(any_port, Logger::root(Discard, o!()))
            .await
            .unwrap();
        let proxy = TcpListener::bind(any_port).await.unwrap();
        let state = Arc::new(State {
            name: name.to_owned(),
            address: proxy.local_addr().unwrap(),
            entries: entries.to_vec(),
            script,
            pool: Pool::new(),
            incarnation: AtomicU64::new(1),
            is_leaving: AtomicBool::new(false),
            sequence: AsyncMutex::new(0),
            ledger: Mutex::default(),
            disconnects: watch::Sender::new(0),
            connections: AtomicUsize::new(0),
        });
        let stop = CancellationToken::new();
        let backend = server.address();
        let serving = state.clone();
        tokio::spawn(server.run(stop.clone(), move |stream| serving.clone().serve(stream)));
        let accepting = state.clone().accept(proxy, backend);
        let sending_heartbeats = state.clone().send_heartbeats();
        let stopped = stop.clone();
        tokio::spawn(async move {
            stopped
                .run_until_cancelled(async { tokio::join!(accepting, sending_heartbeats) })
                .await
        });
        state.send_heartbeat(state.incarnation()).await;
        Self {
            state,
            _stop: stop.drop_guard(),
        }
    }

    /// Announces in heartbeats that it is leaving. Returns when all entries have received one.
    pub async fn leave(&self) {
        self.state.is_leaving.store(true, Ordering::Relaxed);
        self.state.send_heartbeat(self.state.incarnation()).await;
    }

    /// Restarts as a new incarnation with an empty ledger, which breaks all connections. Returns
    /// when all entries have received its heartbeat.
    pub async fn restart(&self) {
        self.state.ledger.lock().unwrap().clear();
        self.state.incarnation.fetch_add(1, Ordering::Relaxed);
        self.state.break_connections();
        self.state.send_heartbeat(self.state.incarnation()).await;
    }

    /// Sends a late heartbeat of an earlier incarnation.
    pub async fn send_heartbeat_as(&self, incarnation: Incarnation) {
        self.state.send_heartbeat(incarnation).await;
    }

    pub fn incarnation(&self) -> Incarnation {
        self.state.incarnation()
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.state.connections.load(Ordering::Relaxed)
    }
}

impl State {
    fn incarnation(&self) -> Incarnation {
        self.incarnation.load(Ordering::Relaxed)
    }

    /// Proxies connections to the backend listener, so that they can be broken.
    async fn accept(self: Arc<Self>, proxy: TcpListener, backend: SocketAddr) {
        loop {
            let (mut inbound, _) = proxy.accept().await.unwrap();
            self.connections.fetch_add(1, Ordering::Relaxed);
            let mut disconnects = self.disconnects.subscribe();
            tokio::spawn(async move {
                let mut outbound = TcpStream::connect(backend).await.unwrap();
                inbound.set_nodelay(true).unwrap();
                outbound.set_nodelay(true).unwrap();
                tokio::select! {
                    _ = tokio::io::copy_bidirectional(&mut inbound, &mut outbound) => {}
                    _ = disconnects.changed() => {}
                }
            });
        }
    }

    async fn send_heartbeats(self: Arc<Self>) {
        loop {
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            self.send_heartbeat(self.incarnation()).await;
        }
    }

    async fn send_heartbeat(&self, incarnation: Incarnation) {
        let mut sequence = self.sequence.lock().await;
        *sequence += 1;
        let frame = Frame::Heartbeat(self.heartbeat(incarnation, *sequence));
        for entry in &self.entries {
            // A stopped entry refuses the connection.
            let _ = self
                .pool
                .call(*entry, &frame, Instant::now() + WAIT_TIMEOUT)
                .await;
        }
    }

    fn heartbeat(&self, incarnation: Incarnation, sequence: u64) -> Heartbeat {
        let worker = worker::Id(self.name.clone());
        Heartbeat {
            worker: worker.clone(),
            incarnation,
            sequence,
            announcement: Some(Announcement {
                worker,
                incarnation,
                service: SERVICE.to_owned(),
                team: TEAM.to_owned(),
                zone: "a".to_owned(),
                rack: "r1".to_owned(),
                address: self.address,
                slots: 8,
                connections: 64,
                capacity: Resources::ZERO,
                cell: 0,
            }),
            revision: 1,
            revision_known: 1,
            in_flight: 0,
            is_healthy: true,
            is_leaving: self.is_leaving.load(Ordering::Relaxed),
            is_drained: false,
            tasks: 0,
        }
    }

    async fn serve(self: Arc<Self>, mut stream: Stream) {
        match stream.recv().await {
            Ok(Some(Frame::Request(head))) => self.handle_request(stream, head).await,
            Ok(Some(Frame::Tombstone(tombstone))) => {
                let verdict = if tombstone.incarnation == self.incarnation() {
                    let mut ledger = self.ledger.lock().unwrap();
                    let unseen = (Verdict::NotRun, String::new());
                    ledger.entry(tombstone.id).or_insert(unseen).0
                } else {
                    Verdict::Unknown
                };
                let _ = stream.send(&Frame::Verdict(verdict)).await;
                let _ = stream.finish();
            }
            _ => {}
        }
    }

    /// Serves one request. Stream errors are ignored; the entry detects them.
    async fn handle_request(&self, mut stream: Stream, head: request::Head) {
        while let Ok(Some(frame)) = stream.recv().await {
            if matches!(frame, Frame::End(_)) {
                break;
            }
        }
        let stored = self.ledger.lock().unwrap().get(&head.id).cloned();
        if let Some((Verdict::Finished, text)) = stored {
            return respond(&mut stream, head.id, head.id, Some((head.id, 0)), &text).await;
        }
        if stored.is_some() || head.incarnation != self.incarnation() {
            return refuse(&mut stream, head.id, ErrorKind::PeerUnavailable).await;
        }
        let behavior = self.script.next_behavior(ReceivedRequest {
            worker: self.name.clone(),
            id: head.id,
            incarnation: head.incarnation,
        });
        self.behave(stream, &head, behavior).await;
    }

    async fn behave(&self, mut stream: Stream, head: &request::Head, behavior: Behavior) {
        let id = head.id;
        let other = Id::new(id.entry(), id.number() + 1_000);
        match behavior {
            Behavior::Refuse(kind) => return refuse(&mut stream, id, kind).await,
            Behavior::BreakConnections(verdict) => {
                if verdict != Verdict::NotRun {
                    self.script.record_run();
                }
                self.record_verdict(id, verdict, "");
                self.break_connections();
                return;
            }
            _ => {}
        }
        let text = format!(
            "{} {} run {}",
            head.method,
            head.target,
            self.script.record_run()
        );
        self.record_verdict(id, Verdict::Running, "");
        if let Behavior::Hold(release) = &behavior {
            release.notified().await;
        }
        self.record_verdict(id, Verdict::Finished, &text);
        let (head_id, end) = match behavior {
            Behavior::MismatchedHead => (other, Some((other, 0))),
            Behavior::MismatchedEnd => (id, Some((other, 0))),
            Behavior::WrongLength => (id, Some((id, 1))),
            Behavior::MissingEnd => (id, None),
            _ => (id, Some((id, 0))),
        };
        respond(&mut stream, id, head_id, end, &text).await;
    }

    fn break_connections(&self) {
        self.disconnects
            .send_modify(|disconnects| *disconnects += 1);
    }

    fn record_verdict(&self, id: Id, verdict: Verdict, text: &str) {
        let mut ledger = self.ledger.lock().unwrap();
        ledger.insert(id, (verdict, text.to_owned()));
    }
}

/// Sends a response with these ids. The number in `end` is added to the length in the end frame.
async fn respond(stream: &mut Stream, id: Id, head_id: Id, end: Option<(Id, u64)>, text: &str) {
    let length = text.len() as u64;
    let mut frames = vec![
        Frame::Response(response::Head {
            id: head_id,
            status: 200,
            headers: vec![("x-id".to_owned(), id.to_string().into_bytes())],
        }),
        Frame::Body(Bytes::copy_from_slice(text.as_bytes())),
    ];
    frames.extend(end.map(|(id, extra)| {
        Frame::End(End {
            id,
            length: length + extra,
        })
    }));
    for frame in &frames {
        if stream.send(frame).await.is_err() {
            return;
        }
    }
    let _ = stream.finish();
}

async fn refuse(stream: &mut Stream, id: Id, kind: ErrorKind) {
    let error = Error::new(kind);
    let _ = stream.send(&Frame::Failure(Failure { id, error })).await;
    let _ = stream.finish();
}
