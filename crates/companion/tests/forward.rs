//! Forwards requests through a companion to an upstream over loopback.

mod support;

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use rstest::rstest;
use support::{
    Reply, companion_settings, exchange_frames, open_stream, receive_reply, request_head,
    request_id, send_and_receive, send_request, send_tombstone, start_companion,
    start_companion_without_entries, start_upstream, wait_until,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use toucanquay_model::{ErrorKind, request::Verdict};
use toucanquay_wire::{End, Frame};

/// Guards against a method, query, header or body that is lost or changed in transit.
#[tokio::test]
async fn request_and_response_are_forwarded_completely() {
    let upstream = start_upstream().await;
    let companion = start_companion_without_entries(&upstream).await;
    let mut head = request_head(1, companion.incarnation(), "PUT", "/lookup/a%20b?x=1&y=%2F");
    head.headers = vec![("x-request-marker".to_owned(), b"m7".to_vec())];

    let text = send_and_receive(companion.address(), head, b"the body")
        .await
        .text();

    assert!(text.contains(r#""method":"PUT""#), "{text}");
    assert!(text.contains(r#""query":"x=1&y=%2F""#), "{text}");
    assert!(text.contains(r#""marker":"m7""#), "{text}");
    assert!(text.contains(r#""body":"the body""#), "{text}");
}

/// Guards against hop-by-hop headers of one connection that are forwarded to the next one.
#[tokio::test]
async fn connection_headers_are_removed_in_both_directions() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let companion = start_companion(companion_settings(listener.local_addr().unwrap())).await;
    let mut head = request_head(1, companion.incarnation(), "GET", "/");
    head.headers = vec![
        ("connection".to_owned(), b"x-private".to_vec()),
        ("x-private".to_owned(), b"1".to_vec()),
        ("x-public".to_owned(), b"2".to_vec()),
    ];
    let mut stream = send_request(companion.address(), head, b"").await;

    let request = loop {
        // The health check also connects, but sends nothing.
        let (mut socket, _) = listener.accept().await.unwrap();
        let mut buffer = vec![0; 4_096];
        let length = socket.read(&mut buffer).await.unwrap();
        if length > 0 {
            let reply = b"HTTP/1.1 200 OK\r\nconnection: x-hop\r\nx-hop: 1\r\nx-kept: 2\r\n\
                content-length: 0\r\n\r\n";
            socket.write_all(reply).await.unwrap();
            break String::from_utf8_lossy(&buffer[..length]).into_owned();
        }
    };
    let Some(Frame::Response(response)) = stream.recv().await.unwrap() else {
        panic!("no response");
    };

    assert!(!request.contains("x-private"), "{request}");
    assert!(request.contains("x-public: 2"), "{request}");
    let names: Vec<&str> = response
        .headers
        .iter()
        .map(|(name, _)| name.as_str())
        .collect();
    assert_eq!(names, ["x-kept", "content-length"]);
}

/// Guards against bodies that are truncated or reordered when they exceed buffers and flow-control
/// windows.
#[rstest]
#[case(65_536)]
#[case(3_000_000)]
#[tokio::test]
async fn large_bodies_are_forwarded_in_both_directions(#[case] length: usize) {
    let upstream = start_upstream().await;
    let companion = start_companion_without_entries(&upstream).await;
    let body: Vec<u8> = (0..length).map(|i| b'a' + (i % 26) as u8).collect();
    let upload = request_head(1, companion.incarnation(), "POST", "/lookup");
    let target = format!("/large?bytes={length}");
    let download = request_head(2, companion.incarnation(), "GET", &target);

    let echoed = send_and_receive(companion.address(), upload, &body)
        .await
        .text();
    let received = send_and_receive(companion.address(), download, b"").await;

    assert!(echoed.contains(std::str::from_utf8(&body).unwrap()));
    assert_eq!(received, Reply::Complete(200, vec![b'l'; length]));
}

/// Guards against a truncated response that is reported as complete.
#[tokio::test]
async fn response_cut_by_the_upstream_is_reported_as_truncated() {
    let upstream = start_upstream().await;
    let companion = start_companion_without_entries(&upstream).await;
    let head = request_head(1, companion.incarnation(), "GET", "/cut");

    let reply = send_and_receive(companion.address(), head, b"").await;

    assert_eq!(reply, Reply::Failed(ErrorKind::TruncatedAnswer, true));
}

/// Guards against "outcome unknown" for a request that never reached the upstream.
#[tokio::test]
async fn refused_connection_is_reported_as_not_run() {
    let upstream = start_upstream().await;
    let companion = start_companion_without_entries(&upstream).await;
    drop(upstream);
    let head = request_head(1, companion.incarnation(), "POST", "/execute");

    let reply = send_and_receive(companion.address(), head, b"order").await;

    assert_eq!(reply, Reply::Failed(ErrorKind::PeerUnavailable, false));
    let verdict = send_tombstone(companion.address(), 1, companion.incarnation()).await;
    assert_eq!(verdict, Frame::Verdict(Verdict::NotRun));
}

/// Guards against "not run" for a request whose upstream exited while the request was running.
#[tokio::test]
async fn upstream_that_dies_during_a_request_leaves_its_outcome_unknown() {
    let upstream = start_upstream().await;
    let companion = start_companion_without_entries(&upstream).await;
    let head = request_head(1, companion.incarnation(), "POST", "/slow?ms=60000");
    let stream = send_request(companion.address(), head, b"order").await;
    wait_until(|| upstream.in_flight() == 1).await;

    drop(upstream);

    let reply = receive_reply(stream, 1).await;
    assert_eq!(reply, Reply::Failed(ErrorKind::OutcomeUnknown, false));
    let verdict = send_tombstone(companion.address(), 1, companion.incarnation()).await;
    assert_eq!(verdict, Frame::Verdict(Verdict::Unknown));
}

/// Guards against a body that is ended by the end frame of another request, and against a truncated
/// body: neither may reach the upstream.
#[rstest]
#[case::crossed(2, 4)]
#[case::short(1, 5)]
#[tokio::test]
async fn end_that_does_not_match_its_request_stops_it(#[case] number: u64, #[case] length: u64) {
    let upstream = start_upstream().await;
    let companion = start_companion_without_entries(&upstream).await;
    let mut stream = open_stream(companion.address()).await;
    let head = request_head(1, companion.incarnation(), "POST", "/execute");
    let end = End {
        id: request_id(number),
        length,
    };

    stream.send(&Frame::Request(head)).await.unwrap();
    let body = Frame::Body(Bytes::from_static(b"body"));
    stream.send(&body).await.unwrap();
    stream.send(&Frame::End(end)).await.unwrap();

    let reply = receive_reply(stream, 1).await;
    assert_eq!(reply, Reply::Failed(ErrorKind::Protocol, false));
    assert_eq!(upstream.requests(), 0);
}

/// Guards against responses that are delivered to the wrong request when they complete out of
/// order.
#[tokio::test]
async fn interleaved_requests_each_get_their_own_response() {
    let upstream = start_upstream().await;
    let companion = start_companion(companion_settings(upstream.address()).slots(32)).await;
    let calls = (1..=32_u64).map(|number| {
        let target = format!("/slow?ms={}", (33 - number) * 3);
        let head = request_head(number, companion.incarnation(), "POST", &target);
        let address = companion.address();
        async move { send_and_receive(address, head, format!("body {number}").as_bytes()).await }
    });

    let replies = join_all(calls).await;

    for (index, reply) in replies.iter().enumerate() {
        let own = format!(r#""body":"body {}""#, index + 1);
        assert!(reply.text().contains(&own), "{own}: {reply:?}");
    }
}

/// Guards against running a tombstoned request that arrives after its tombstone.
#[tokio::test]
async fn request_that_arrives_after_its_tombstone_is_refused() {
    let upstream = start_upstream().await;
    let companion = start_companion_without_entries(&upstream).await;

    let verdict = send_tombstone(companion.address(), 1, companion.incarnation()).await;
    let head = request_head(1, companion.incarnation(), "POST", "/execute");
    let reply = send_and_receive(companion.address(), head, b"order").await;

    assert_eq!(verdict, Frame::Verdict(Verdict::NotRun));
    assert_eq!(reply, Reply::Failed(ErrorKind::DeadlineBeforeSend, false));
    assert_eq!(upstream.executions("order"), 0);
}

/// Guards against "not run" for a request that has run or is running.
#[tokio::test]
async fn tombstone_after_arrival_returns_the_state_of_the_request() {
    let upstream = start_upstream().await;
    let companion = start_companion_without_entries(&upstream).await;
    let (address, incarnation) = (companion.address(), companion.incarnation());
    send_and_receive(
        address,
        request_head(1, incarnation, "POST", "/execute"),
        b"a",
    )
    .await;
    let slow = request_head(2, incarnation, "POST", "/slow?ms=300");
    let stream = send_request(address, slow, b"b").await;
    wait_until(|| upstream.in_flight() == 1).await;

    let finished = send_tombstone(address, 1, incarnation).await;
    let running = send_tombstone(address, 2, incarnation).await;
    let foreign = send_tombstone(address, 3, incarnation - 1).await;

    assert_eq!(finished, Frame::Verdict(Verdict::Finished));
    assert_eq!(running, Frame::Verdict(Verdict::Running));
    assert_eq!(foreign, Frame::Verdict(Verdict::Unknown));
    assert!(matches!(
        receive_reply(stream, 2).await,
        Reply::Complete(200, _)
    ));
}

/// Guards against running a repeated request twice.
#[tokio::test]
async fn repeated_request_gets_the_first_response_if_it_has_a_key() {
    let upstream = start_upstream().await;
    let companion = start_companion_without_entries(&upstream).await;
    let mut keyed = request_head(1, companion.incarnation(), "POST", "/execute");
    keyed.is_keyed = true;
    let plain = request_head(2, companion.incarnation(), "POST", "/execute");

    let first = send_and_receive(companion.address(), keyed.clone(), b"order").await;
    let second = send_and_receive(companion.address(), keyed, b"order").await;
    send_and_receive(companion.address(), plain.clone(), b"plain").await;
    let repeated = send_and_receive(companion.address(), plain, b"plain").await;

    assert_eq!(first, second);
    assert_eq!(repeated, Reply::Failed(ErrorKind::OutcomeUnknown, false));
    assert_eq!(upstream.executions("order"), 1);
    assert_eq!(upstream.executions("plain"), 1);
}

/// Guards against running a request for a previous incarnation after a restart.
#[rstest]
#[case::plain(false, ErrorKind::PeerUnavailable)]
#[case::keyed(true, ErrorKind::OutcomeUnknown)]
#[tokio::test]
async fn request_for_another_incarnation_is_refused(
    #[case] is_keyed: bool,
    #[case] expected: ErrorKind,
) {
    let upstream = start_upstream().await;
    let companion = start_companion_without_entries(&upstream).await;
    let mut head = request_head(1, companion.incarnation() - 1, "POST", "/execute");
    head.is_keyed = is_keyed;

    let reply = send_and_receive(companion.address(), head, b"order").await;

    assert_eq!(reply, Reply::Failed(expected, false));
    assert_eq!(upstream.requests(), 0);
}

/// Guards against more concurrent requests at the upstream than it has slots.
#[tokio::test]
async fn request_beyond_the_slots_is_refused_as_not_run() {
    let upstream = start_upstream().await;
    let companion = start_companion(companion_settings(upstream.address()).slots(4)).await;
    let calls = (1..=40_u64).map(|number| {
        let head = request_head(number, companion.incarnation(), "POST", "/slow?ms=150");
        let address = companion.address();
        async move { send_and_receive(address, head, b"").await }
    });

    let replies = join_all(calls).await;

    let overloaded = Reply::Failed(ErrorKind::Overloaded, false);
    let refused = replies.iter().filter(|reply| **reply == overloaded).count();
    let served = replies
        .iter()
        .filter(|reply| matches!(reply, Reply::Complete(200, _)))
        .count();
    assert_eq!((served, refused), (4, 36));
    assert_eq!(upstream.in_flight_max(), 4);
}

/// Guards against a safe request that keeps occupying a slot after its entry has disconnected.
#[tokio::test]
async fn safe_request_is_aborted_when_its_entry_disconnects() {
    let upstream = start_upstream().await;
    let companion = start_companion_without_entries(&upstream).await;
    let mut head = request_head(1, companion.incarnation(), "GET", "/slow?ms=60000");
    head.remaining_micros = Some(60_000_000);
    let stream = send_request(companion.address(), head, b"").await;
    wait_until(|| upstream.in_flight() == 1).await;

    drop(stream);

    wait_until(|| companion.context().admission.in_flight() == 0).await;
}

/// Guards against a request that must not be repeated and is aborted because its entry has
/// disconnected.
#[tokio::test]
async fn unsafe_request_continues_when_its_entry_disconnects() {
    let upstream = start_upstream().await;
    let companion = start_companion_without_entries(&upstream).await;
    let (address, incarnation) = (companion.address(), companion.incarnation());
    let mut head = request_head(1, incarnation, "POST", "/slow?ms=400");
    head.is_keyed = true;
    let stream = send_request(address, head.clone(), b"order").await;
    wait_until(|| upstream.in_flight() == 1).await;

    drop(stream);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let running = send_tombstone(address, 1, incarnation).await;
    wait_until(|| companion.context().admission.in_flight() == 0).await;
    let replayed = send_and_receive(address, head, b"order").await;

    assert_eq!(running, Frame::Verdict(Verdict::Running));
    assert!(replayed.text().contains("order"));
    assert_eq!(upstream.requests(), 1);
}

/// Guards against a deadline that is not enforced, and against one that aborts a request that must
/// not be repeated.
#[rstest]
#[case::safe("GET", Verdict::Unknown)]
#[case::not_safe("POST", Verdict::Running)]
#[tokio::test]
async fn deadline_ends_the_wait(#[case] method: &str, #[case] expected: Verdict) {
    let upstream = start_upstream().await;
    let companion = start_companion_without_entries(&upstream).await;
    let mut head = request_head(1, companion.incarnation(), method, "/slow?ms=60000");
    head.remaining_micros = Some(100_000);

    let reply = send_and_receive(companion.address(), head, b"").await;

    assert_eq!(reply, Reply::Failed(ErrorKind::DeadlineWhileRunning, false));
    let verdict = send_tombstone(companion.address(), 1, companion.incarnation()).await;
    assert_eq!(verdict, Frame::Verdict(expected));
}

/// Guards against frames for other processes that are treated as requests.
#[tokio::test]
async fn frame_that_is_not_for_companions_is_refused() {
    let upstream = start_upstream().await;
    let companion = start_companion_without_entries(&upstream).await;

    let error = exchange_frames(companion.address(), &Frame::Verdict(Verdict::Running))
        .await
        .unwrap_err();

    assert_eq!(error.kind(), ErrorKind::Protocol);
}
