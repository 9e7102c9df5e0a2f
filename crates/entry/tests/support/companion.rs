//! A fake companion.

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

use super::{Act, PATIENCE, SERVICE, Script, TEAM, script::Seen};

/// Time between two heartbeats, far below the time after which an entry drops an upstream.
const INTERVAL: Duration = Duration::from_millis(200);

/// A fake companion. It ends when it is dropped.
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
    /// Number of the last heartbeat; locked while one is under way, so that none overtakes another.
    sequence: AsyncMutex<u64>,
    /// What became of each request, with the response that is kept for a repeat.
    ledger: Mutex<HashMap<Id, (Verdict, String)>>,
    /// A change breaks every connection.
    cuts: watch::Sender<u32>,
    connections: AtomicUsize,
}

impl Companion {
    /// Starts a companion that is known to `entries`.
    pub async fn start(name: &str, entries: &[SocketAddr], script: Arc<Script>) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::bind(any, Logger::root(Discard, o!()))
            .await
            .unwrap();
        let front = TcpListener::bind(any).await.unwrap();
        let state = Arc::new(State {
            name: name.to_owned(),
            address: front.local_addr().unwrap(),
            entries: entries.to_vec(),
            script,
            pool: Pool::new(),
            incarnation: AtomicU64::new(1),
            is_leaving: AtomicBool::new(false),
            sequence: AsyncMutex::new(0),
            ledger: Mutex::default(),
            cuts: watch::Sender::new(0),
            connections: AtomicUsize::new(0),
        });
        let stop = CancellationToken::new();
        let back = server.address();
        let serving = state.clone();
        tokio::spawn(server.run(stop.clone(), move |stream| serving.clone().serve(stream)));
        let accepting = state.clone().accept(front, back);
        let beating = state.clone().keep_beating();
        let stopped = stop.clone();
        tokio::spawn(async move {
            stopped
                .run_until_cancelled(async { tokio::join!(accepting, beating) })
                .await
        });
        state.beat(state.incarnation()).await;
        Self {
            state,
            _stop: stop.drop_guard(),
        }
    }

    /// Says in its heartbeats that it leaves; returns when every entry has heard it.
    pub async fn leave(&self) {
        self.state.is_leaving.store(true, Ordering::Relaxed);
        self.state.beat(self.state.incarnation()).await;
    }

    /// Becomes a new run without a memory, which breaks every connection; returns when every entry
    /// has heard of it.
    pub async fn restart(&self) {
        self.state.ledger.lock().unwrap().clear();
        self.state.incarnation.fetch_add(1, Ordering::Relaxed);
        self.state.cut();
        self.state.beat(self.state.incarnation()).await;
    }

    /// Sends a heartbeat of an earlier run, as one that arrives late.
    pub async fn beat_as(&self, incarnation: Incarnation) {
        self.state.beat(incarnation).await;
    }

    pub fn incarnation(&self) -> Incarnation {
        self.state.incarnation()
    }

    /// Returns how many connections were made to it.
    pub fn connections(&self) -> usize {
        self.state.connections.load(Ordering::Relaxed)
    }
}

impl State {
    fn incarnation(&self) -> Incarnation {
        self.incarnation.load(Ordering::Relaxed)
    }

    /// Passes connections on to the listener behind, so that they can be broken.
    async fn accept(self: Arc<Self>, front: TcpListener, back: SocketAddr) {
        loop {
            let (mut near, _) = front.accept().await.unwrap();
            self.connections.fetch_add(1, Ordering::Relaxed);
            let mut cuts = self.cuts.subscribe();
            tokio::spawn(async move {
                let mut far = TcpStream::connect(back).await.unwrap();
                near.set_nodelay(true).unwrap();
                far.set_nodelay(true).unwrap();
                tokio::select! {
                    _ = tokio::io::copy_bidirectional(&mut near, &mut far) => {}
                    _ = cuts.changed() => {}
                }
            });
        }
    }

    async fn keep_beating(self: Arc<Self>) {
        loop {
            tokio::time::sleep(INTERVAL).await;
            self.beat(self.incarnation()).await;
        }
    }

    async fn beat(&self, incarnation: Incarnation) {
        let mut sequence = self.sequence.lock().await;
        *sequence += 1;
        let frame = Frame::Heartbeat(self.heartbeat(incarnation, *sequence));
        for entry in &self.entries {
            // An entry that has stopped refuses the connection.
            let _ = self
                .pool
                .call(*entry, &frame, Instant::now() + PATIENCE)
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
            Ok(Some(Frame::Request(head))) => self.request(stream, head).await,
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

    /// Serves one request. Errors of the stream are the entry's to notice.
    async fn request(&self, mut stream: Stream, head: request::Head) {
        while let Ok(Some(frame)) = stream.recv().await {
            if matches!(frame, Frame::End(_)) {
                break;
            }
        }
        let kept = self.ledger.lock().unwrap().get(&head.id).cloned();
        if let Some((Verdict::Finished, text)) = kept {
            return respond(&mut stream, head.id, head.id, Some((head.id, 0)), &text).await;
        }
        if kept.is_some() || head.incarnation != self.incarnation() {
            return refuse(&mut stream, head.id, ErrorKind::PeerUnavailable).await;
        }
        let act = self.script.arrive(Seen {
            worker: self.name.clone(),
            id: head.id,
            incarnation: head.incarnation,
        });
        self.act(stream, &head, act).await;
    }

    async fn act(&self, mut stream: Stream, head: &request::Head, act: Act) {
        let id = head.id;
        let other = Id::new(id.entry(), id.number() + 1_000);
        match act {
            Act::Refuse(kind) => return refuse(&mut stream, id, kind).await,
            Act::Cut(verdict) => {
                if verdict != Verdict::NotRun {
                    self.script.run();
                }
                self.settle(id, verdict, "");
                self.cut();
                return;
            }
            _ => {}
        }
        let text = format!("{} {} run {}", head.method, head.target, self.script.run());
        self.settle(id, Verdict::Running, "");
        if let Act::Hold(permit) = &act {
            permit.notified().await;
        }
        self.settle(id, Verdict::Finished, &text);
        let (begin, end) = match act {
            Act::OtherHead => (other, Some((other, 0))),
            Act::OtherEnd => (id, Some((other, 0))),
            Act::OtherLength => (id, Some((id, 1))),
            Act::NoEnd => (id, None),
            _ => (id, Some((id, 0))),
        };
        respond(&mut stream, id, begin, end, &text).await;
    }

    fn cut(&self) {
        self.cuts.send_modify(|cuts| *cuts += 1);
    }

    fn settle(&self, id: Id, verdict: Verdict, text: &str) {
        let mut ledger = self.ledger.lock().unwrap();
        ledger.insert(id, (verdict, text.to_owned()));
    }
}

/// Sends a response with these ids; the number is added to the length in its end frame.
async fn respond(stream: &mut Stream, id: Id, begin: Id, end: Option<(Id, u64)>, text: &str) {
    let length = text.len() as u64;
    let mut frames = vec![
        Frame::Response(response::Head {
            id: begin,
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
