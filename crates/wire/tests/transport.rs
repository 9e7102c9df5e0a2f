//! Tests of the transport over the loopback interface.

use std::time::Duration;

use bytes::Bytes;
use slog::{Discard, Logger, o};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use toucanquay_model::{ErrorKind, request};
use toucanquay_wire::{End, Frame, Pool, Server, Stream, Tombstone};

const ID: request::Id = request::Id(7);

async fn server() -> Server {
    let log = Logger::root(Discard, o!());
    Server::bind("127.0.0.1:0".parse().unwrap(), log)
        .await
        .unwrap()
}

async fn echo(mut stream: Stream) {
    while let Ok(Some(frame)) = stream.recv().await {
        if stream.send(&frame).await.is_err() {
            return;
        }
    }
    let _ = stream.finish();
}

fn test_deadline() -> Instant {
    Instant::now() + Duration::from_secs(10)
}

/// Guards against frames being lost, reordered or truncated at the limits of flow control.
#[tokio::test]
async fn frames_larger_than_the_window_arrive_in_order() {
    let server = server().await;
    let address = server.address();
    tokio::spawn(server.run(CancellationToken::new(), echo));
    let mut stream = Pool::new().open(address, test_deadline()).await.unwrap();
    let body = Frame::Body(Bytes::from(vec![3; 1_000_000]));
    let end = Frame::End(End {
        id: ID,
        length: 1_000_000,
    });

    stream.send(&body).await.unwrap();
    stream.send(&end).await.unwrap();
    stream.finish().unwrap();

    assert_eq!(stream.recv().await.unwrap(), Some(body));
    assert_eq!(stream.recv().await.unwrap(), Some(end));
    assert_eq!(stream.recv().await.unwrap(), None);
}

/// Guards against a graceful stop that aborts an open stream.
#[tokio::test]
async fn stop_lets_an_open_stream_end() {
    let server = server().await;
    let address = server.address();
    let stop = CancellationToken::new();
    let run = tokio::spawn(server.run(stop.clone(), echo));
    let mut stream = Pool::new().open(address, test_deadline()).await.unwrap();
    let frame = Frame::Tombstone(Tombstone {
        id: ID,
        incarnation: 1,
    });
    stream.send(&frame).await.unwrap();
    stream.recv().await.unwrap();

    stop.cancel();
    tokio::task::yield_now().await;
    stream.send(&frame).await.unwrap();
    stream.finish().unwrap();

    assert_eq!(stream.recv().await.unwrap(), Some(frame));
    assert_eq!(stream.recv().await.unwrap(), None);
    tokio::time::timeout_at(test_deadline(), run)
        .await
        .unwrap()
        .unwrap();
}

/// Guards against reporting an unknown outcome although nothing was sent.
#[tokio::test]
async fn absent_peer_is_reported_as_never_sent() {
    let server = server().await;
    let address = server.address();
    drop(server);

    let error = Pool::new()
        .open(address, test_deadline())
        .await
        .unwrap_err();

    assert_eq!(error.kind(), ErrorKind::PeerUnavailable);
}

/// Guards against a pool that keeps using a connection after the peer has restarted.
#[tokio::test]
async fn pool_reconnects_after_the_peer_has_restarted() {
    let first = server().await;
    let address = first.address();
    let stop = CancellationToken::new();
    let run = tokio::spawn(first.run(stop.clone(), echo));
    let pool = Pool::new();
    let frame = Frame::Tombstone(Tombstone {
        id: ID,
        incarnation: 1,
    });
    pool.call(address, &frame, test_deadline()).await.unwrap();
    stop.cancel();
    run.await.unwrap();
    let second = Server::bind(address, Logger::root(Discard, o!()))
        .await
        .unwrap();
    tokio::spawn(second.run(CancellationToken::new(), echo));

    let response = pool.call(address, &frame, test_deadline()).await.unwrap();

    assert_eq!(response, frame);
}

/// Guards against a call that fails because the peer responds before the end of stream is sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn quick_answer_does_not_break_its_call() {
    let server = server().await;
    let address = server.address();
    tokio::spawn(server.run(CancellationToken::new(), respond_once));
    let pool = Pool::new();
    let frame = Frame::Tombstone(Tombstone {
        id: ID,
        incarnation: 1,
    });

    let mut failures = Vec::new();
    for _ in 0..4_000 {
        failures.extend(pool.call(address, &frame, test_deadline()).await.err());
    }

    assert!(
        failures.is_empty(),
        "{} failed: {}",
        failures.len(),
        failures[0]
    );
}

async fn respond_once(mut stream: Stream) {
    if let Ok(Some(frame)) = stream.recv().await {
        let _ = stream.send_last(&frame).await;
    }
}
