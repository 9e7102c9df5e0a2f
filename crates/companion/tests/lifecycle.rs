//! Membership, configuration, draining and graceful stop of a companion over loopback.

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
    Reply, SERVICE, TEAM, companion_settings, entry::FakeEntry, exchange_frames, receive_reply,
    request_head, send_and_receive, send_request, send_tombstone, start_companion,
    start_companion_without_entries, start_upstream, wait_until,
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

const ACTIVE_SECTION: &str = "[services.lookup]\n";
const LEAVING_SECTION: &str = "state = \"leaving\"\n[services.lookup]\n";

async fn start_registered_companion(upstream: &Upstream, entry: &FakeEntry) -> Companion {
    let settings = companion_settings(upstream.address()).entries([entry.address]);
    let companion = start_companion(settings).await;
    entry
        .wait_for_heartbeat(|heartbeat| heartbeat.is_healthy)
        .await;
    companion
}

/// Guards against upstreams that are never announced to an entry, and against heartbeats that reuse
/// a sequence number.
#[tokio::test]
async fn companion_announces_itself_and_continues_heartbeats() {
    let upstream = start_upstream().await;
    let entry = FakeEntry::start().await;
    let companion = start_registered_companion(&upstream, &entry).await;

    let announcement = entry.wait_for_announcement().await;
    entry
        .wait_for_heartbeat(|heartbeat| heartbeat.sequence >= 3)
        .await;

    let announcement = announcement.announcement.unwrap();
    assert_eq!(announcement.service, SERVICE);
    assert_eq!(announcement.address, companion.address());
    assert_eq!(announcement.incarnation, companion.incarnation());
    let sequences: Vec<u64> = entry
        .heartbeats()
        .iter()
        .map(|heartbeat| heartbeat.sequence)
        .collect();
    assert!(sequences.is_sorted_by(|a, b| a < b), "{sequences:?}");
}

/// Guards against an entry that is started later and never discovers the upstream.
#[tokio::test]
async fn entry_named_in_a_reply_gets_heartbeats() {
    let upstream = start_upstream().await;
    let (first, second) = (FakeEntry::start().await, FakeEntry::start().await);
    first.set_reply(|reply| reply.entries = vec![first.address, second.address]);

    let companion = start_registered_companion(&upstream, &first).await;

    let heartbeat = second.wait_for_announcement().await;
    assert_eq!(heartbeat.incarnation, companion.incarnation());
}

/// Guards against a restarted entry that never receives another announcement.
#[tokio::test]
async fn restarted_entry_gets_the_announcement() {
    let upstream = start_upstream().await;
    let entry = FakeEntry::start().await;
    let _companion = start_registered_companion(&upstream, &entry).await;
    let address = entry.address;
    drop(entry);
    tokio::time::sleep(Duration::from_millis(50)).await;

    let entry = FakeEntry::start_at(address).await;

    entry.wait_for_announcement().await;
}

/// Guards against routing requests to an upstream that is down.
#[tokio::test]
async fn upstream_that_refuses_connections_is_reported_as_unhealthy() {
    let upstream = start_upstream().await;
    let entry = FakeEntry::start().await;
    let _companion = start_registered_companion(&upstream, &entry).await;

    drop(upstream);

    entry
        .wait_for_heartbeat(|heartbeat| !heartbeat.is_healthy && heartbeat.sequence > 1)
        .await;
}

/// Guards against an upstream that stays healthy although its health check returns an error.
#[tokio::test]
async fn failing_health_path_makes_the_upstream_unhealthy() {
    let upstream = start_upstream().await;
    let entry = FakeEntry::start().await;
    let settings = companion_settings(upstream.address())
        .entries([entry.address])
        .health_path("/health");
    let _companion = start_companion(settings).await;
    let healthy = entry
        .wait_for_heartbeat(|heartbeat| heartbeat.is_healthy)
        .await;

    upstream.set_healthy(false);

    let since = healthy.sequence;
    entry
        .wait_for_heartbeat(|heartbeat| !heartbeat.is_healthy && heartbeat.sequence > since)
        .await;
}

/// Guards against a configuration change that does not reach the companion, and against a restarted
/// entry that can't fetch the sections from a companion during a store outage.
#[tokio::test]
async fn sections_are_fetched_from_an_entry_and_served() {
    let upstream = start_upstream().await;
    let entry = FakeEntry::start().await;
    let companion = start_registered_companion(&upstream, &entry).await;
    entry.set_section(TEAM, 7, ACTIVE_SECTION);

    let heartbeat = entry
        .wait_for_heartbeat(|heartbeat| heartbeat.revision == 7)
        .await;
    drop(entry);
    let query = Frame::SectionQuery(Query { after: 0 });
    let reply = exchange_frames(companion.address(), &query).await.unwrap();

    assert_eq!(heartbeat.revision_known, 7);
    let Frame::SectionReply(reply) = reply else {
        panic!("unexpected {reply:?}");
    };
    assert_eq!(reply.revision, 7);
    assert_eq!(reply.items[0].text.as_deref(), Some(ACTIVE_SECTION));
}

/// Guards against a configuration that is reverted because an entry has an outdated revision.
#[tokio::test]
async fn older_section_does_not_replace_a_newer_one() {
    let upstream = start_upstream().await;
    let entry = FakeEntry::start().await;
    let companion = start_registered_companion(&upstream, &entry).await;
    entry.set_section(TEAM, 7, LEAVING_SECTION);
    entry
        .wait_for_heartbeat(|heartbeat| heartbeat.is_leaving)
        .await;

    entry.set_section(TEAM, 5, ACTIVE_SECTION);
    let heartbeat_count = entry.heartbeats().len();
    wait_until(|| entry.heartbeats().len() >= heartbeat_count + 2).await;

    let last = entry.heartbeats().pop().unwrap();
    assert!(last.is_leaving);
    assert_eq!(last.revision, 7);
    assert!(companion.context().admission.is_leaving());
}

/// Guards against new work on a leaving upstream, and against aborting its requests in flight.
#[tokio::test]
async fn leaving_team_gets_no_new_work_and_drains() {
    let upstream = start_upstream().await;
    let entry = FakeEntry::start().await;
    let companion = start_registered_companion(&upstream, &entry).await;
    let (address, incarnation) = (companion.address(), companion.incarnation());
    let slow = request_head(1, incarnation, "POST", "/slow?ms=1500");
    let slow = send_request(address, slow, b"in flight").await;
    wait_until(|| upstream.in_flight() == 1).await;

    entry.set_section(TEAM, 7, LEAVING_SECTION);
    let leaving = entry
        .wait_for_heartbeat(|heartbeat| heartbeat.is_leaving)
        .await;
    let new = send_and_receive(
        address,
        request_head(2, incarnation, "POST", "/execute"),
        b"new",
    )
    .await;
    let slow = receive_reply(slow, 1).await;
    let drained = entry
        .wait_for_heartbeat(|heartbeat| heartbeat.is_drained)
        .await;

    assert!(!leaving.is_drained);
    assert_eq!(new, Reply::Failed(ErrorKind::Leaving, false));
    assert_eq!(upstream.executions("new"), 0);
    assert!(slow.text().contains("in flight"));
    assert_eq!(drained.in_flight, 0);
}

/// Guards against a graceful stop that aborts a slow request or accepts new ones.
#[tokio::test]
async fn graceful_stop_finishes_requests_in_flight() {
    let upstream = start_upstream().await;
    let entry = FakeEntry::start().await;
    let companion = start_registered_companion(&upstream, &entry).await;
    let (address, incarnation) = (companion.address(), companion.incarnation());
    let slow = request_head(1, incarnation, "POST", "/slow?ms=800");
    let slow = send_request(address, slow, b"in flight").await;
    wait_until(|| upstream.in_flight() == 1).await;

    let stop = tokio::spawn(companion.stop());
    entry
        .wait_for_heartbeat(|heartbeat| heartbeat.is_leaving)
        .await;
    let new = send_and_receive(
        address,
        request_head(2, incarnation, "POST", "/execute"),
        b"new",
    )
    .await;
    let slow = receive_reply(slow, 1).await;

    assert_eq!(new, Reply::Failed(ErrorKind::ShuttingDown, false));
    assert!(slow.text().contains("in flight"));
    assert!(stop.await.unwrap());
    assert!(entry.heartbeats().pop().unwrap().is_drained);
}

/// Guards against a watch that blocks a graceful stop forever, and against one that is reported as
/// complete although it was aborted at the deadline.
#[tokio::test]
async fn graceful_stop_cuts_a_watch_only_at_its_deadline() {
    let upstream = start_upstream().await;
    let settings = companion_settings(upstream.address()).stop_deadline_ms(700);
    let companion = start_companion(settings).await;
    let mut watch = request_head(1, companion.incarnation(), "GET", "/feed");
    watch.remaining_micros = None;
    let watch = send_request(companion.address(), watch, b"").await;
    wait_until(|| companion.context().admission.in_flight() == 1).await;

    let started_at = Instant::now();
    let stop = tokio::spawn(companion.stop());
    let watch = receive_reply(watch, 1).await;

    assert_eq!(watch, Reply::Failed(ErrorKind::OutcomeUnknown, true));
    assert!(!stop.await.unwrap());
    let elapsed = started_at.elapsed();
    assert!(elapsed >= Duration::from_millis(700), "{elapsed:?}");
    assert!(elapsed < Duration::from_secs(4), "{elapsed:?}");
}

/// Guards against "not run" for a request that ran before the companion restarted: the ledger is
/// lost in a restart.
#[tokio::test]
async fn restarted_companion_does_not_answer_for_its_predecessor() {
    let upstream = start_upstream().await;
    let first = start_companion_without_entries(&upstream).await;
    let (address, incarnation) = (first.address(), first.incarnation());
    send_and_receive(
        address,
        request_head(1, incarnation, "POST", "/execute"),
        b"order",
    )
    .await;
    assert!(first.stop().await);
    let second = start_companion(companion_settings(upstream.address()).listen(address)).await;

    let verdict = send_tombstone(address, 1, incarnation).await;
    let repeated = send_and_receive(
        address,
        request_head(1, incarnation, "POST", "/execute"),
        b"order",
    )
    .await;

    assert!(second.incarnation() > incarnation);
    assert_eq!(verdict, Frame::Verdict(Verdict::Unknown));
    assert_eq!(repeated, Reply::Failed(ErrorKind::PeerUnavailable, false));
    assert_eq!(upstream.executions("order"), 1);
}

/// Responds to each request after 2 ms, keeps the connection open and counts open connections.
async fn serve_connection(mut socket: TcpStream, open: Arc<AtomicUsize>, peak: Arc<AtomicUsize>) {
    peak.fetch_max(open.fetch_add(1, Relaxed) + 1, Relaxed);
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

/// Guards against more connections to the upstream than the settings allow, including health
/// checks, and against idle connections that take up the ones reserved for the slots.
#[rstest]
#[case::all_kept(17)]
#[case::some_kept(11)]
#[case::none_kept(9)]
#[tokio::test]
async fn connections_stay_within_their_limit(#[case] limit: usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (open, peak) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
    let counters = (open.clone(), peak.clone());
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(serve_connection(
                socket,
                counters.0.clone(),
                counters.1.clone(),
            ));
        }
    });
    let connections = u32::try_from(limit).unwrap();
    let companion = start_companion(
        companion_settings(address)
            .slots(8)
            .connections(connections),
    )
    .await;
    let clients = (0..16_u64).map(|client| {
        let (address, incarnation) = (companion.address(), companion.incarnation());
        async move {
            for round in 0..30 {
                let number = client * 1_000 + round + 1;
                send_and_receive(address, request_head(number, incarnation, "GET", "/"), b"").await;
            }
        }
    });

    join_all(clients).await;

    // Kept connections stay open for 4 s, so they are still counted after this delay.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let (idle, peak) = (open.load(Relaxed), peak.load(Relaxed));
    assert!((8..=limit).contains(&peak), "{peak} connections");
    assert!(idle <= limit - 8, "{idle} idle connections");
}
