//! Requests through a companion to an upstream and back, over loopback.

mod support;

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use rstest::rstest;
use support::{
    Reply, alone, ask, call, companion, head, id, open, receive, send, settings, tombstone, until,
    upstream,
};
use toucanquay_model::{ErrorKind, request::Verdict};
use toucanquay_wire::{End, Frame};

/// Guards against lost or changed parts of a request: method, query, headers and body.
#[tokio::test]
async fn request_arrives_whole_and_its_response_returns_whole() {
    let upstream = upstream().await;
    let companion = alone(&upstream).await;
    let mut head = head(1, companion.incarnation(), "PUT", "/lookup/a%20b?x=1&y=%2F");
    head.headers = vec![
        ("x-request-marker".to_owned(), b"m7".to_vec()),
        ("connection".to_owned(), b"x-private".to_vec()),
        ("x-private".to_owned(), b"1".to_vec()),
    ];

    let text = call(companion.address(), head, b"the body").await.text();

    assert!(text.contains(r#""method":"PUT""#), "{text}");
    assert!(text.contains(r#""query":"x=1&y=%2F""#), "{text}");
    assert!(text.contains(r#""marker":"m7""#), "{text}");
    assert!(text.contains(r#""body":"the body""#), "{text}");
}

/// Guards against bodies that are cut or reordered at the limits of buffers and flow control.
#[rstest]
#[case(65_536)]
#[case(3_000_000)]
#[tokio::test]
async fn large_bodies_pass_in_both_directions(#[case] length: usize) {
    let upstream = upstream().await;
    let companion = alone(&upstream).await;
    let body: Vec<u8> = (0..length).map(|i| b'a' + (i % 26) as u8).collect();
    let up = head(1, companion.incarnation(), "POST", "/lookup");
    let target = format!("/large?bytes={length}");
    let down = head(2, companion.incarnation(), "GET", &target);

    let echoed = call(companion.address(), up, &body).await.text();
    let received = call(companion.address(), down, b"").await;

    assert!(echoed.contains(std::str::from_utf8(&body).unwrap()));
    assert_eq!(received, Reply::Whole(200, vec![b'l'; length]));
}

/// Guards against a cut response that is passed off as a whole one.
#[tokio::test]
async fn response_cut_by_the_upstream_is_reported_as_truncated() {
    let upstream = upstream().await;
    let companion = alone(&upstream).await;
    let head = head(1, companion.incarnation(), "GET", "/cut");

    let reply = call(companion.address(), head, b"").await;

    assert_eq!(reply, Reply::Failed(ErrorKind::TruncatedAnswer, true));
}

/// Guards against "outcome unknown" for a request that never reached the upstream.
#[tokio::test]
async fn refused_connection_is_reported_as_not_run() {
    let upstream = upstream().await;
    let companion = alone(&upstream).await;
    drop(upstream);
    let head = head(1, companion.incarnation(), "POST", "/execute");

    let reply = call(companion.address(), head, b"order").await;

    assert_eq!(reply, Reply::Failed(ErrorKind::PeerUnavailable, false));
    let verdict = tombstone(companion.address(), 1, companion.incarnation()).await;
    assert_eq!(verdict, Frame::Verdict(Verdict::NotRun));
}

/// Guards against "not run" for a request whose upstream died while it ran.
#[tokio::test]
async fn upstream_that_dies_during_a_request_leaves_its_outcome_unknown() {
    let upstream = upstream().await;
    let companion = alone(&upstream).await;
    let head = head(1, companion.incarnation(), "POST", "/slow?ms=60000");
    let stream = send(companion.address(), head, b"order").await;
    until(|| upstream.in_flight() == 1).await;

    drop(upstream);

    let reply = receive(stream, 1).await;
    assert_eq!(reply, Reply::Failed(ErrorKind::OutcomeUnknown, false));
    let verdict = tombstone(companion.address(), 1, companion.incarnation()).await;
    assert_eq!(verdict, Frame::Verdict(Verdict::Unknown));
}

/// Guards against a body that is completed by the end of another request, or cut short.
#[rstest]
#[case::crossed(2, 4)]
#[case::short(1, 5)]
#[tokio::test]
async fn end_that_does_not_match_its_request_stops_it(#[case] number: u64, #[case] length: u64) {
    let upstream = upstream().await;
    let companion = alone(&upstream).await;
    let mut stream = open(companion.address()).await;
    let head = head(1, companion.incarnation(), "POST", "/execute");
    let end = End {
        id: id(number),
        length,
    };

    stream.send(&Frame::Request(head)).await.unwrap();
    let body = Frame::Body(Bytes::from_static(b"body"));
    stream.send(&body).await.unwrap();
    stream.send(&Frame::End(end)).await.unwrap();

    let reply = receive(stream, 1).await;
    assert_eq!(reply, Reply::Failed(ErrorKind::Protocol, false));
    assert_eq!(upstream.requests(), 0);
}

/// Guards against responses that are handed to the wrong request when they arrive late or crossed.
#[tokio::test]
async fn interleaved_requests_each_get_their_own_response() {
    let upstream = upstream().await;
    let companion = companion(settings(upstream.address()).slots(32)).await;
    let calls = (1..=32_u64).map(|number| {
        let target = format!("/slow?ms={}", (33 - number) * 3);
        let head = head(number, companion.incarnation(), "POST", &target);
        let address = companion.address();
        async move { call(address, head, format!("body {number}").as_bytes()).await }
    });

    let replies = join_all(calls).await;

    for (index, reply) in replies.iter().enumerate() {
        let own = format!(r#""body":"body {}""#, index + 1);
        assert!(reply.text().contains(&own), "{own}: {reply:?}");
    }
}

/// Guards against a tombstoned request that runs when it arrives late.
#[tokio::test]
async fn request_that_arrives_after_its_tombstone_is_refused() {
    let upstream = upstream().await;
    let companion = alone(&upstream).await;

    let verdict = tombstone(companion.address(), 1, companion.incarnation()).await;
    let head = head(1, companion.incarnation(), "POST", "/execute");
    let reply = call(companion.address(), head, b"order").await;

    assert_eq!(verdict, Frame::Verdict(Verdict::NotRun));
    assert_eq!(reply, Reply::Failed(ErrorKind::DeadlineBeforeSend, false));
    assert_eq!(upstream.executions("order"), 0);
}

/// Guards against "not run" for a request that has run or is running.
#[tokio::test]
async fn tombstone_after_arrival_tells_what_became_of_the_request() {
    let upstream = upstream().await;
    let companion = alone(&upstream).await;
    let (address, incarnation) = (companion.address(), companion.incarnation());
    call(address, head(1, incarnation, "POST", "/execute"), b"a").await;
    let slow = head(2, incarnation, "POST", "/slow?ms=300");
    let stream = send(address, slow, b"b").await;
    until(|| upstream.in_flight() == 1).await;

    let finished = tombstone(address, 1, incarnation).await;
    let running = tombstone(address, 2, incarnation).await;
    let foreign = tombstone(address, 3, incarnation - 1).await;

    assert_eq!(finished, Frame::Verdict(Verdict::Finished));
    assert_eq!(running, Frame::Verdict(Verdict::Running));
    assert_eq!(foreign, Frame::Verdict(Verdict::Unknown));
    assert!(matches!(receive(stream, 2).await, Reply::Whole(200, _)));
}

/// Guards against a repeated request that runs again.
#[tokio::test]
async fn repeated_request_gets_the_first_response_if_it_has_a_key() {
    let upstream = upstream().await;
    let companion = alone(&upstream).await;
    let mut keyed = head(1, companion.incarnation(), "POST", "/execute");
    keyed.is_keyed = true;
    let plain = head(2, companion.incarnation(), "POST", "/execute");

    let first = call(companion.address(), keyed.clone(), b"order").await;
    let second = call(companion.address(), keyed, b"order").await;
    call(companion.address(), plain.clone(), b"plain").await;
    let repeated = call(companion.address(), plain, b"plain").await;

    assert_eq!(first, second);
    assert_eq!(repeated, Reply::Failed(ErrorKind::OutcomeUnknown, false));
    assert_eq!(upstream.executions("order"), 1);
    assert_eq!(upstream.executions("plain"), 1);
}

/// Guards against a request for an earlier incarnation that runs after a restart.
#[rstest]
#[case::plain(false, ErrorKind::PeerUnavailable)]
#[case::keyed(true, ErrorKind::OutcomeUnknown)]
#[tokio::test]
async fn request_for_another_incarnation_is_refused(
    #[case] is_keyed: bool,
    #[case] expected: ErrorKind,
) {
    let upstream = upstream().await;
    let companion = alone(&upstream).await;
    let mut head = head(1, companion.incarnation() - 1, "POST", "/execute");
    head.is_keyed = is_keyed;

    let reply = call(companion.address(), head, b"order").await;

    assert_eq!(reply, Reply::Failed(expected, false));
    assert_eq!(upstream.requests(), 0);
}

/// Guards against more requests at the upstream than it has slots.
#[tokio::test]
async fn request_over_the_slots_is_refused_as_not_run() {
    let upstream = upstream().await;
    let companion = companion(settings(upstream.address()).slots(4)).await;
    let calls = (1..=40_u64).map(|number| {
        let head = head(number, companion.incarnation(), "POST", "/slow?ms=150");
        let address = companion.address();
        async move { call(address, head, b"").await }
    });

    let replies = join_all(calls).await;

    let overloaded = Reply::Failed(ErrorKind::Overloaded, false);
    let refused = replies.iter().filter(|reply| **reply == overloaded).count();
    let served = replies
        .iter()
        .filter(|reply| matches!(reply, Reply::Whole(200, _)))
        .count();
    assert_eq!((served, refused), (4, 36));
    assert_eq!(upstream.in_flight_max(), 4);
}

/// Guards against a lookup that occupies a slot although nobody waits for it any more.
#[tokio::test]
async fn safe_request_ends_when_its_entry_goes_away() {
    let upstream = upstream().await;
    let companion = alone(&upstream).await;
    let head = head(1, companion.incarnation(), "GET", "/slow?ms=60000");
    let stream = send(companion.address(), head, b"").await;
    until(|| upstream.in_flight() == 1).await;

    drop(stream);

    until(|| companion.context().admission.in_flight() == 0).await;
}

/// Guards against a work order that is cut off because its entry went away.
#[tokio::test]
async fn unsafe_request_runs_on_when_its_entry_goes_away() {
    let upstream = upstream().await;
    let companion = alone(&upstream).await;
    let (address, incarnation) = (companion.address(), companion.incarnation());
    let mut head = head(1, incarnation, "POST", "/slow?ms=400");
    head.is_keyed = true;
    let stream = send(address, head.clone(), b"order").await;
    until(|| upstream.in_flight() == 1).await;

    drop(stream);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let running = tombstone(address, 1, incarnation).await;
    until(|| companion.context().admission.in_flight() == 0).await;
    let replayed = call(address, head, b"order").await;

    assert_eq!(running, Frame::Verdict(Verdict::Running));
    assert!(replayed.text().contains("order"));
    assert_eq!(upstream.requests(), 1);
}

/// Guards against a deadline that is not enforced, and against one that cuts off a work order.
#[rstest]
#[case::safe("GET", Verdict::Unknown)]
#[case::not_safe("POST", Verdict::Running)]
#[tokio::test]
async fn deadline_ends_the_wait(#[case] method: &str, #[case] expected: Verdict) {
    let upstream = upstream().await;
    let companion = alone(&upstream).await;
    let mut head = head(1, companion.incarnation(), method, "/slow?ms=60000");
    head.remaining_micros = Some(100_000);

    let reply = call(companion.address(), head, b"").await;

    assert_eq!(reply, Reply::Failed(ErrorKind::DeadlineWhileRunning, false));
    let verdict = tombstone(companion.address(), 1, companion.incarnation()).await;
    assert_eq!(verdict, Frame::Verdict(expected));
}

/// Guards against frames of other processes that are taken for requests.
#[tokio::test]
async fn frame_that_is_not_for_companions_is_refused() {
    let upstream = upstream().await;
    let companion = alone(&upstream).await;

    let error = ask(companion.address(), &Frame::Verdict(Verdict::Running))
        .await
        .unwrap_err();

    assert_eq!(error.kind(), ErrorKind::Protocol);
}
