//! Membership, configuration, leaving and stopping of a companion, over loopback.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    time::Duration,
};

use futures_util::future::join_all;
use rstest::rstest;
use support::{
    Reply, SERVICE, TEAM, alone, ask, call, companion, entry::Entry, head, receive, send, settings,
    tombstone, until, upstream,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::Instant,
};
use toucanquay_companion::Companion;
use toucanquay_model::{ErrorKind, request::Verdict};
use toucanquay_standin::Upstream;
use toucanquay_wire::{Frame, section::Query};

const PRESENT: &str = "[services.lookup]\n";
const LEAVING: &str = "state = \"leaving\"\n[services.lookup]\n";

async fn joined(upstream: &Upstream, entry: &Entry) -> Companion {
    let settings = settings(upstream.address()).entries([entry.address]);
    let companion = companion(settings).await;
    entry.beat(|beat| beat.is_healthy).await;
    companion
}

/// Guards against upstreams that no entry learns of, and against heartbeats that repeat a number.
#[tokio::test]
async fn companion_announces_itself_and_goes_on_with_heartbeats() {
    let upstream = upstream().await;
    let entry = Entry::start().await;
    let companion = joined(&upstream, &entry).await;

    let announcement = entry.beat(|beat| beat.announcement.is_some()).await;
    entry.beat(|beat| beat.sequence >= 3).await;

    let announcement = announcement.announcement.unwrap();
    assert_eq!(announcement.service, SERVICE);
    assert_eq!(announcement.address, companion.address());
    assert_eq!(announcement.incarnation, companion.incarnation());
    let sequences: Vec<u64> = entry.beats().iter().map(|beat| beat.sequence).collect();
    assert!(sequences.is_sorted_by(|a, b| a < b), "{sequences:?}");
}

/// Guards against an entry that is started later and never hears of the upstream.
#[tokio::test]
async fn entry_named_in_a_reply_gets_heartbeats() {
    let upstream = upstream().await;
    let (first, second) = (Entry::start().await, Entry::start().await);
    first.set_reply(|reply| reply.entries = vec![first.address, second.address]);

    let companion = joined(&upstream, &first).await;

    let beat = second.beat(|beat| beat.announcement.is_some()).await;
    assert_eq!(beat.incarnation, companion.incarnation());
}

/// Guards against a restarted entry that waits for an announcement in vain.
#[tokio::test]
async fn restarted_entry_gets_the_announcement() {
    let upstream = upstream().await;
    let entry = Entry::start().await;
    let _companion = joined(&upstream, &entry).await;
    let address = entry.address;
    drop(entry);
    tokio::time::sleep(Duration::from_millis(50)).await;

    let entry = Entry::start_at(address).await;

    entry.beat(|beat| beat.announcement.is_some()).await;
}

/// Guards against requests that are sent to an upstream that is down.
#[tokio::test]
async fn upstream_that_refuses_connections_is_reported_as_unhealthy() {
    let upstream = upstream().await;
    let entry = Entry::start().await;
    let _companion = joined(&upstream, &entry).await;

    drop(upstream);

    entry
        .beat(|beat| !beat.is_healthy && beat.sequence > 1)
        .await;
}

/// Guards against an upstream that says "unhealthy" and still counts as healthy.
#[tokio::test]
async fn failing_health_path_makes_the_upstream_unhealthy() {
    let upstream = upstream().await;
    let entry = Entry::start().await;
    let settings = settings(upstream.address())
        .entries([entry.address])
        .health_path("/health");
    let _companion = companion(settings).await;
    let healthy = entry.beat(|beat| beat.is_healthy).await;

    upstream.set_healthy(false);

    let since = healthy.sequence;
    entry
        .beat(|beat| !beat.is_healthy && beat.sequence > since)
        .await;
}

/// Guards against a configuration change that does not reach the companion, and against a store
/// outage in which a restarted entry can't learn the sections that the companion holds.
#[tokio::test]
async fn sections_are_learned_from_an_entry_and_handed_out() {
    let upstream = upstream().await;
    let entry = Entry::start().await;
    let companion = joined(&upstream, &entry).await;
    entry.set_section(TEAM, 7, PRESENT);

    let beat = entry.beat(|beat| beat.revision == 7).await;
    drop(entry);
    let query = Frame::SectionQuery(Query { after: 0 });
    let reply = ask(companion.address(), &query).await.unwrap();

    assert_eq!(beat.revision_known, 7);
    let Frame::SectionReply(reply) = reply else {
        panic!("unexpected {reply:?}");
    };
    assert_eq!(reply.revision, 7);
    assert_eq!(reply.items[0].text.as_deref(), Some(PRESENT));
}

/// Guards against an accepted configuration that reverts because an entry lags behind.
#[tokio::test]
async fn older_section_does_not_replace_a_newer_one() {
    let upstream = upstream().await;
    let entry = Entry::start().await;
    let companion = joined(&upstream, &entry).await;
    entry.set_section(TEAM, 7, LEAVING);
    entry.beat(|beat| beat.is_leaving).await;

    entry.set_section(TEAM, 5, PRESENT);
    let seen = entry.beats().len();
    until(|| entry.beats().len() >= seen + 2).await;

    let last = entry.beats().pop().unwrap();
    assert!(last.is_leaving);
    assert_eq!(last.revision, 7);
    assert!(companion.context().admission.is_leaving());
}

/// Guards against new work on a leaving upstream, and against cutting off what is in flight there.
#[tokio::test]
async fn leaving_team_gets_no_new_work_and_drains() {
    let upstream = upstream().await;
    let entry = Entry::start().await;
    let companion = joined(&upstream, &entry).await;
    let (address, incarnation) = (companion.address(), companion.incarnation());
    let slow = head(1, incarnation, "POST", "/slow?ms=1500");
    let slow = send(address, slow, b"in flight").await;
    until(|| upstream.in_flight() == 1).await;

    entry.set_section(TEAM, 7, LEAVING);
    let leaving = entry.beat(|beat| beat.is_leaving).await;
    let new = call(address, head(2, incarnation, "POST", "/execute"), b"new").await;
    let slow = receive(slow, 1).await;
    let drained = entry.beat(|beat| beat.is_drained).await;

    assert!(!leaving.is_drained);
    assert_eq!(new, Reply::Failed(ErrorKind::Leaving, false));
    assert_eq!(upstream.executions("new"), 0);
    assert!(slow.text().contains("in flight"));
    assert_eq!(drained.in_flight, 0);
}

/// Guards against a planned stop that cuts off a slow request, or that takes new ones.
#[tokio::test]
async fn graceful_stop_finishes_requests_in_flight() {
    let upstream = upstream().await;
    let entry = Entry::start().await;
    let companion = joined(&upstream, &entry).await;
    let (address, incarnation) = (companion.address(), companion.incarnation());
    let slow = head(1, incarnation, "POST", "/slow?ms=800");
    let slow = send(address, slow, b"in flight").await;
    until(|| upstream.in_flight() == 1).await;

    let stop = tokio::spawn(companion.stop());
    entry.beat(|beat| beat.is_leaving).await;
    let new = call(address, head(2, incarnation, "POST", "/execute"), b"new").await;
    let slow = receive(slow, 1).await;

    assert_eq!(new, Reply::Failed(ErrorKind::ShuttingDown, false));
    assert!(slow.text().contains("in flight"));
    assert!(stop.await.unwrap());
    assert!(entry.beats().pop().unwrap().is_drained);
}

/// Guards against a watch that holds up a planned stop for ever, and against one that looks whole
/// although it was cut off at the deadline.
#[tokio::test]
async fn graceful_stop_cuts_a_watch_only_at_its_deadline() {
    let upstream = upstream().await;
    let settings = settings(upstream.address()).stop_deadline_ms(700);
    let companion = companion(settings).await;
    let mut watch = head(1, companion.incarnation(), "GET", "/feed");
    watch.remaining_micros = None;
    let watch = send(companion.address(), watch, b"").await;
    until(|| companion.context().admission.in_flight() == 1).await;

    let begun = Instant::now();
    let stop = tokio::spawn(companion.stop());
    let watch = receive(watch, 1).await;

    assert_eq!(watch, Reply::Failed(ErrorKind::OutcomeUnknown, true));
    assert!(!stop.await.unwrap());
    let elapsed = begun.elapsed();
    assert!(elapsed >= Duration::from_millis(700), "{elapsed:?}");
    assert!(elapsed < Duration::from_secs(4), "{elapsed:?}");
}

/// Guards against "not run" from a companion that has forgotten what its predecessor ran.
#[tokio::test]
async fn restarted_companion_does_not_answer_for_its_predecessor() {
    let upstream = upstream().await;
    let first = alone(&upstream).await;
    let (address, incarnation) = (first.address(), first.incarnation());
    call(address, head(1, incarnation, "POST", "/execute"), b"order").await;
    assert!(first.stop().await);
    let second = companion(settings(upstream.address()).listen(address)).await;

    let verdict = tombstone(address, 1, incarnation).await;
    let repeated = call(address, head(1, incarnation, "POST", "/execute"), b"order").await;

    assert!(second.incarnation() > incarnation);
    assert_eq!(verdict, Frame::Verdict(Verdict::Unknown));
    assert_eq!(repeated, Reply::Failed(ErrorKind::PeerUnavailable, false));
    assert_eq!(upstream.executions("order"), 1);
}

/// Answers each request after 2 ms and keeps the connection, while it counts connections.
async fn answer(mut socket: TcpStream, open: Arc<AtomicUsize>, most: Arc<AtomicUsize>) {
    most.fetch_max(open.fetch_add(1, Relaxed) + 1, Relaxed);
    let mut buffer = [0; 4_096];
    while socket
        .read(&mut buffer)
        .await
        .is_ok_and(|length| length > 0)
    {
        tokio::time::sleep(Duration::from_millis(2)).await;
        let reply = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        socket.write_all(reply).await.unwrap();
    }
    open.fetch_sub(1, Relaxed);
}

/// Guards against more connections to the upstream than the settings allow, health checks
/// included.
#[rstest]
#[case::all_kept(17)]
#[case::some_kept(11)]
#[case::none_kept(9)]
#[tokio::test]
async fn connections_stay_within_their_limit(#[case] limit: usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (open, most) = (Arc::default(), Arc::new(AtomicUsize::new(0)));
    let counted = most.clone();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(answer(socket, Arc::clone(&open), counted.clone()));
        }
    });
    let connections = u32::try_from(limit).unwrap();
    let companion = companion(settings(address).slots(8).connections(connections)).await;
    let clients = (0..16_u64).map(|client| {
        let (address, incarnation) = (companion.address(), companion.incarnation());
        async move {
            for round in 0..30 {
                let number = client * 1_000 + round + 1;
                call(address, head(number, incarnation, "GET", "/"), b"").await;
            }
        }
    });

    join_all(clients).await;

    let most = most.load(Relaxed);
    assert!((8..=limit).contains(&most), "{most} connections");
}
