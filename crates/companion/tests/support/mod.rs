//! Fixtures: a companion with a stand-in upstream, and the entry's side of a request.

#![expect(dead_code, reason = "each test binary uses only some of the fixtures")]

pub mod entry;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use slog::{Discard, Logger, o};
use tokio::time::{Instant, timeout};
use toucanquay_companion::{Companion, Settings};
use toucanquay_model::{Error, ErrorKind, Incarnation, request};
use toucanquay_standin::Upstream;
use toucanquay_wire::{End, Frame, Pool, Stream, Tombstone, request::Head};

/// Timeout of each wait in a test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

pub const SERVICE: &str = "lookup";
pub const TEAM: &str = "desk";

pub fn log() -> Logger {
    Logger::root(Discard, o!())
}

pub fn companion_settings(upstream: SocketAddr) -> Settings {
    Settings::new("w1", SERVICE, TEAM, format!("http://{upstream}"))
}

pub async fn start_upstream() -> Upstream {
    Upstream::start().await.unwrap()
}

pub async fn start_companion(settings: Settings) -> Companion {
    Companion::start(settings, log()).await.unwrap()
}

/// Starts a companion of `upstream` that knows no entries.
pub async fn start_companion_without_entries(upstream: &Upstream) -> Companion {
    start_companion(companion_settings(upstream.address())).await
}

pub fn request_id(number: u64) -> request::Id {
    request::Id::new(1, number)
}

pub fn request_head(number: u64, incarnation: Incarnation, method: &str, target: &str) -> Head {
    Head {
        id: request_id(number),
        incarnation,
        service: SERVICE.to_owned(),
        method: method.to_owned(),
        target: target.to_owned(),
        headers: Vec::new(),
        remaining_micros: Some(5_000_000),
        is_keyed: false,
    }
}

/// Result of a request as the entry receives it.
#[derive(Debug, PartialEq, Eq)]
pub enum Reply {
    /// A complete response: status and body.
    Complete(u16, Vec<u8>),
    /// A failure, and whether it arrived after the head of a response.
    Failed(ErrorKind, bool),
    /// The stream ended without an `End` or `Failure` frame.
    Broken,
}

impl Reply {
    pub fn text(&self) -> String {
        match self {
            Self::Complete(200, body) => String::from_utf8(body.clone()).unwrap(),
            other => panic!("no complete response: {other:?}"),
        }
    }
}

pub async fn open_stream(address: SocketAddr) -> Stream {
    let deadline = Instant::now() + TEST_TIMEOUT;
    Pool::new().open(address, deadline).await.unwrap()
}

/// Sends a complete request and returns the stream for the reply.
pub async fn send_request(address: SocketAddr, head: Head, body: &[u8]) -> Stream {
    let mut stream = open_stream(address).await;
    let end = End {
        id: head.id,
        length: body.len() as u64,
    };
    stream.send(&Frame::Request(head)).await.unwrap();
    for part in body.chunks(100_000) {
        let part = Frame::Body(Bytes::copy_from_slice(part));
        stream.send(&part).await.unwrap();
    }
    stream.send(&Frame::End(end)).await.unwrap();
    stream.finish().unwrap();
    stream
}

/// Receives the reply to request `number` and checks its ids and lengths.
pub async fn receive_reply(mut stream: Stream, number: u64) -> Reply {
    let collect = async {
        let mut status = None;
        let mut body = Vec::new();
        loop {
            match stream.recv().await {
                Ok(Some(Frame::Response(head))) => {
                    assert_eq!(head.id, request_id(number));
                    status = Some(head.status);
                }
                Ok(Some(Frame::Body(part))) => body.extend_from_slice(&part),
                Ok(Some(Frame::End(end))) => {
                    assert_eq!(
                        (end.id, end.length),
                        (request_id(number), body.len() as u64)
                    );
                    return Reply::Complete(status.unwrap(), body);
                }
                Ok(Some(Frame::Failure(failure))) => {
                    assert_eq!(failure.id, request_id(number));
                    return Reply::Failed(failure.error.kind(), status.is_some());
                }
                Ok(None) | Err(_) => return Reply::Broken,
                Ok(Some(other)) => panic!("unexpected frame {other:?}"),
            }
        }
    };
    timeout(TEST_TIMEOUT, collect).await.unwrap()
}

/// Sends a complete request and receives its reply.
pub async fn send_and_receive(address: SocketAddr, head: Head, body: &[u8]) -> Reply {
    let number = head.id.number();
    receive_reply(send_request(address, head, body).await, number).await
}

/// Sends one frame and returns the frame that is received in reply.
pub async fn exchange_frames(address: SocketAddr, frame: &Frame) -> Result<Frame, Error> {
    let deadline = Instant::now() + TEST_TIMEOUT;
    Pool::new().call(address, frame, deadline).await
}

pub async fn send_tombstone(address: SocketAddr, number: u64, incarnation: Incarnation) -> Frame {
    let tombstone = Tombstone {
        id: request_id(number),
        incarnation,
    };
    exchange_frames(address, &Frame::Tombstone(tombstone))
        .await
        .unwrap()
}

/// Waits until `condition` holds.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TEST_TIMEOUT, wait).await.unwrap();
}
