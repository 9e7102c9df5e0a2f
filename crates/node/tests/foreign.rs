//! Tests of entries in the store that another writer left and that can't be read, beside sound ones.

mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use futures_util::FutureExt;
use rstest::rstest;
use serde_json::json;
use support::{log::Lines, memory::Memory};
use tokio::time::{Duration, Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;
use toucanquay_control::runner::{AttemptList, Heartbeat};
use toucanquay_model::{
    Resources, Time,
    graph::Id,
    session::{self, Update},
};
use toucanquay_node::{
    Clock, Companion, Configuration, Entry, Worker, companion,
    configuration::Source,
    entry::{self, Registration},
    key, worker,
};
use toucanquay_wire::{Frame, Server, Stream};

/// Time within which an owner must be found.
const OWNER_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum time for which an owner acts without a renewal.
const OWNERSHIP: Duration = Duration::from_millis(1_600);

fn deep(levels: usize) -> Vec<u8> {
    [b"[".repeat(levels), b"]".repeat(levels)].concat()
}

/// Returns a term whose address can't be reached.
fn term(epoch: u64) -> Vec<u8> {
    let term = json!({ "epoch": epoch, "holder": "front-9", "process": 9, "address": "127.0.0.1:1",
        "is_released": false, "renewals": 0 });
    term.to_string().into_bytes()
}

fn replaced(value: &[u8], from: &str, to: &str) -> Vec<u8> {
    let text = String::from_utf8(value.to_vec()).expect("a text");
    text.replace(from, to).into_bytes()
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free address");
    listener.local_addr().expect("the bound address")
}

async fn start_entry(memory: &Memory, lines: &Lines) -> Entry {
    start_entry_at(free_address(), memory, lines).await
}

async fn start_entry_at(listen: SocketAddr, memory: &Memory, lines: &Lines) -> Entry {
    let settings = entry::Settings {
        name: "front-1".to_owned(),
        process: 1,
        listen,
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

/// Returns whether an owner answers in time.
async fn has_owner(entry: &Entry) -> bool {
    let deadline = Instant::now() + OWNER_TIMEOUT;
    entry.pending("plans", deadline).await.ok() == Some(0)
}

/// Returns the epoch in the owner's key.
fn epoch(memory: &Memory) -> Option<u64> {
    let item = memory.get(key::OWNER)?;
    let term: serde_json::Value = serde_json::from_slice(&item.value).ok()?;
    term["epoch"].as_u64()
}

/// Guards against an election that takes another writer's key for the owner's, so that its
/// condition never holds and no entry becomes the owner.
#[rstest]
#[case::deep(deep(300))]
#[case::very_deep(deep(100_000))]
#[case::number(b"1e999".to_vec())]
#[case::not_utf8(b"\xff\xfe\"".to_vec())]
#[case::term(term(7))]
#[tokio::test]
async fn key_beside_the_owners_key_does_not_prevent_an_election(#[case] value: Vec<u8>) {
    let (memory, lines) = (Memory::default(), Lines::default());
    memory.put("tq/owner-x", &value);
    let entry = start_entry(&memory, &lines).await;

    let has_owner = has_owner(&entry).await;

    assert!(has_owner, "no owner");
}

/// Guards against an election that starts its wait anew whenever another writer's key changes.
#[tokio::test]
async fn changes_of_a_key_beside_the_owners_key_do_not_delay_a_takeover() {
    let (memory, lines) = (Memory::default(), Lines::default());
    memory.put(key::OWNER, &term(7));
    let entry = start_entry(&memory, &lines).await;
    let writer = memory.clone();
    let writing = tokio::spawn(async move {
        loop {
            writer.put("tq/owner-x", &term(3));
            sleep(Duration::from_millis(150)).await;
        }
    });

    let has_owner = has_owner(&entry).await;

    writing.abort();
    assert!(has_owner, "no owner");
}

/// Guards against an owner's key that can't be parsed and restarts the epochs, whereupon companions
/// refuse the owner, or is replaced while its holder may still act.
#[rstest]
#[case::deep(deep(300))]
#[case::very_deep(deep(100_000))]
#[case::number(replaced(&term(41), "41", "1e999"))]
#[case::number_above_64_bits(replaced(&term(41), "41", "36893488147419103232"))]
#[case::highest_number(term(u64::MAX))]
#[case::port(replaced(&term(41), "127.0.0.1:1", "10.0.0.1:99999"))]
#[case::not_utf8(b"\xff\xfe".to_vec())]
#[tokio::test]
async fn odd_owners_key_is_replaced_with_a_later_epoch(#[case] value: Vec<u8>) {
    let (memory, lines) = (Memory::default(), Lines::default());
    memory.put(key::FENCE, b"41");
    memory.put(key::OWNER, &value);
    let started_at = Instant::now();
    let entry = start_entry(&memory, &lines).await;

    let has_owner = has_owner(&entry).await;

    assert!(has_owner, "no owner");
    assert_eq!(epoch(&memory), Some(42));
    assert!(started_at.elapsed() > OWNERSHIP, "the holder may still act");
}

/// Guards against two values that can't be parsed and end all elections.
#[tokio::test]
async fn odd_owners_key_beside_an_odd_fence_is_replaced_with_a_later_epoch() {
    let (memory, lines) = (Memory::default(), Lines::default());
    for value in 1..=41 {
        memory.put("other", value.to_string().as_bytes());
    }
    memory.put(key::FENCE, &deep(300));
    memory.put(key::OWNER, &deep(300));
    let entry = start_entry(&memory, &lines).await;

    let has_owner = has_owner(&entry).await;

    assert!(has_owner, "no owner");
    assert!(epoch(&memory) > Some(41), "{:?}", epoch(&memory));
}

/// Guards against a running owner whose key another writer replaces, after which no entry is the
/// owner or companions refuse it.
#[rstest]
#[case::odd(Some(deep(300)))]
#[case::unreadable(None)]
#[tokio::test]
async fn running_owner_recovers_from_an_odd_value_of_its_key(#[case] value: Option<Vec<u8>>) {
    let (memory, lines) = (Memory::default(), Lines::default());
    memory.put(key::FENCE, b"41");
    memory.put(key::OWNER, &term(41));
    let entry = start_entry(&memory, &lines).await;
    assert!(has_owner(&entry).await, "no first owner");

    match value {
        Some(value) => memory.put(key::OWNER, &value),
        None => memory.put_unreadable(key::OWNER),
    }
    sleep(Duration::from_millis(2_500)).await;
    let has_owner = has_owner(&entry).await;

    assert!(has_owner, "no second owner");
    assert!(epoch(&memory) > Some(42), "{:?}", epoch(&memory));
}

/// Guards against an entry of the store that can't be read in the place of the owner's key, and
/// that ends all elections.
#[tokio::test]
async fn unreadable_owners_key_is_replaced_with_a_later_epoch() {
    let (memory, lines) = (Memory::default(), Lines::default());
    memory.put(key::FENCE, b"41");
    memory.put_unreadable(key::OWNER);
    let started_at = Instant::now();
    let entry = start_entry(&memory, &lines).await;

    let has_owner = has_owner(&entry).await;

    assert!(has_owner, "no owner");
    assert!(epoch(&memory) > Some(41), "{:?}", epoch(&memory));
    assert!(started_at.elapsed() > OWNERSHIP, "the holder may still act");
}

/// A companion that accepts sessions and reports no worker.
struct Host {
    name: String,
    address: SocketAddr,
    /// Number of sessions that were opened, and of those that are open.
    sessions: Arc<[AtomicUsize; 2]>,
    stop: CancellationToken,
}

impl Host {
    async fn start(name: &str) -> Self {
        let log = Lines::default().logger();
        let any_address: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        let server = Server::bind(any_address, log)
            .await
            .expect("a free address");
        let host = Self {
            name: name.to_owned(),
            address: server.address(),
            sessions: Arc::default(),
            stop: CancellationToken::new(),
        };
        let (name, sessions, stop) = (host.name.clone(), host.sessions.clone(), host.stop.clone());
        let serve = move |stream| {
            let session = serve_session(name.clone(), sessions.clone(), stream);
            stop.clone().run_until_cancelled_owned(session).map(|_| ())
        };
        tokio::spawn(server.run(host.stop.clone(), serve));
        host
    }

    fn registration(&self) -> Vec<u8> {
        let address = self.address;
        Registration {
            address,
            process: 1,
        }
        .to_bytes()
    }

    fn opened_sessions(&self) -> usize {
        self.sessions[0].load(Ordering::Relaxed)
    }

    fn is_open(&self) -> bool {
        self.sessions[1].load(Ordering::Relaxed) > 0
    }

    /// Returns whether a session is open within the timeout, or none if `is_open` is false.
    async fn becomes(&self, is_open: bool) -> bool {
        let deadline = Instant::now() + OWNER_TIMEOUT;
        while Instant::now() < deadline {
            if self.is_open() == is_open {
                return true;
            }
            sleep(Duration::from_millis(10)).await;
        }
        false
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn serve_session(name: String, sessions: Arc<[AtomicUsize; 2]>, mut stream: Stream) {
    let Ok(Some(Frame::Session(epoch))) = stream.recv().await else {
        return;
    };
    for count in sessions.iter() {
        count.fetch_add(1, Ordering::Relaxed);
    }
    for number in 1.. {
        if stream
            .send(&Frame::Update(update(&name, epoch, number)))
            .await
            .is_err()
        {
            break;
        }
        // Orders are ignored. A closed stream ends the session.
        match timeout(Duration::from_millis(50), stream.recv()).await {
            Ok(Ok(Some(_))) | Err(_) => {}
            Ok(_) => break,
        }
    }
    sessions[1].fetch_sub(1, Ordering::Relaxed);
}

fn update(name: &str, epoch: u64, number: u64) -> Update {
    Update {
        host: name.to_owned(),
        process: 1,
        number,
        stamp: Time::ZERO,
        epoch,
        applied: 0,
        is_settled: true,
        worker: None,
        is_worker_silent: false,
        has_sample: false,
        runs: Vec::new(),
        ends: Vec::new(),
        crashes: Vec::new(),
    }
}

/// Guards against a host that left while the history of the store was lost and stays in use.
#[tokio::test]
async fn host_that_left_during_a_gap_of_the_history_is_not_used() {
    let (memory, lines) = (Memory::default(), Lines::default());
    let (gone, other) = (Host::start("h1").await, Host::start("h2").await);
    memory.put(&key::host("h1"), &gone.registration());
    memory.put(&key::host("h2"), &other.registration());
    let _entry = start_entry(&memory, &lines).await;
    assert!(
        gone.becomes(true).await && other.becomes(true).await,
        "no session"
    );

    memory.remove_and_compact(&key::host("h1"));
    let is_released = gone.becomes(false).await;
    sleep(Duration::from_secs(1)).await;

    assert!(is_released, "the session remains");
    assert!(!gone.is_open(), "another session was opened");
    assert!(other.is_open(), "the other host is not in use");
}

/// Guards against an entry that can't be read in a list after a gap, and that is taken for a host
/// that left.
#[rstest]
#[case::unreadable(true)]
#[case::without_a_key(false)]
#[tokio::test]
async fn host_with_an_unreadable_registration_stays_in_use_after_a_gap(#[case] has_key: bool) {
    let (memory, lines) = (Memory::default(), Lines::default());
    let host = Host::start("h1").await;
    memory.put(&key::host("h1"), &host.registration());
    let _entry = start_entry(&memory, &lines).await;
    assert!(host.becomes(true).await, "no session");

    match has_key {
        true => memory.put_unreadable(&key::host("h1")),
        false => memory.hide(&key::host("h1"), key::HOSTS),
    }
    memory.remove_and_compact("other");
    sleep(Duration::from_secs(1)).await;

    assert!(host.is_open(), "the host is not in use");
    assert_eq!(host.opened_sessions(), 1);
}

/// Guards against an entry among those of the hosts that can't be read and keeps the owner from
/// following the sound ones.
#[rstest]
#[case::deep(deep(300))]
#[case::very_deep(deep(100_000))]
#[case::number(br#"{"address":"127.0.0.1:1","process":1e999}"#.to_vec())]
#[case::number_above_64_bits(br#"{"address":"127.0.0.1:1","process":36893488147419103232}"#.to_vec())]
#[case::port(br#"{"address":"10.0.0.1:99999","process":1}"#.to_vec())]
#[case::port_zero(br#"{"address":"127.0.0.1:0","process":1}"#.to_vec())]
#[case::not_utf8(b"\xff\xfe".to_vec())]
#[tokio::test]
async fn hosts_beside_an_odd_registration_are_used(#[case] value: Vec<u8>) {
    let (memory, lines) = (Memory::default(), Lines::default());
    let (listed, watched) = (Host::start("h1").await, Host::start("h2").await);
    memory.put(&key::host(&format!("a{}", "x".repeat(100_000))), &value);
    memory.put(&key::host("h1"), &listed.registration());
    let _entry = start_entry(&memory, &lines).await;
    let is_listed_used = listed.becomes(true).await;

    for _ in 0..200 {
        memory.put(&key::host("a1"), &value);
    }
    memory.put(&key::host("h2"), &watched.registration());
    let is_watched_used = watched.becomes(true).await;

    assert!(
        is_listed_used && is_watched_used,
        "a sound host is not in use"
    );
    let odd = lines.of("item_unreadable");
    assert!(odd.len() <= 130, "{} lines", odd.len());
    assert!(odd.iter().all(|line| line.len() < 1_000), "a long line");
}

fn record(steps: &serde_json::Value, schedule: &serde_json::Value) -> Vec<u8> {
    let policy = json!({ "pool": "desk", "priority": 1, "attempts_max": 3, "stretch": 2.0,
        "slack_ms": 1_000 });
    let job = json!({ "payload": "", "steps": steps, "schedule": schedule });
    let record = json!({ "queue": "plans", "policy": policy, "unix_ms": 1, "job": job });
    record.to_string().into_bytes()
}

/// Returns the record of a job that waits for a worker.
fn sound_record() -> Vec<u8> {
    record(&json!([{ "tasks": 1 }]), &json!(null))
}

/// Returns the record of a job of another queue, whose number of occurrences and times are large.
fn other_queue(steps: &serde_json::Value) -> Vec<u8> {
    let schedule = json!({ "occurrences": 100_000, "first_unix_ms": u64::MAX,
        "interval_ms": u64::MAX });
    replaced(&record(steps, &schedule), "plans", "others")
}

/// Returns whether exactly this number of jobs is queued, and still is after a while.
async fn has_queued(entry: &Entry, expected: u64) -> bool {
    for _ in 0..3 {
        let deadline = Instant::now() + OWNER_TIMEOUT;
        let mut pending = None;
        while pending != Some(expected) && Instant::now() < deadline {
            pending = entry.pending("plans", deadline).await.ok();
            sleep(Duration::from_millis(20)).await;
        }
        if pending != Some(expected) {
            return false;
        }
        sleep(Duration::from_millis(300)).await;
    }
    true
}

/// Guards against a job's record that can't be run, or be read, and ends each owner or keeps it
/// from following the sound ones.
#[rstest]
#[case::deep(deep(300))]
#[case::very_deep(deep(100_000))]
#[case::number(replaced(&sound_record(), "2.0", "1e999"))]
#[case::number_above_64_bits(replaced(&sound_record(), "1000", "36893488147419103232"))]
#[case::not_utf8(b"\xff\xfe".to_vec())]
#[case::no_steps(record(&json!([]), &json!(null)))]
#[case::unknown_dependency(record(&json!([{ "tasks": 1, "after": [7] }]), &json!(null)))]
#[case::too_many_tasks(record(&json!([{ "tasks": u32::MAX }]), &json!(null)))]
#[case::largest_numbers(other_queue(&json!([{ "tasks": 1, "estimate_ms": u64::MAX,
    "latency_target_ms": u32::MAX, "demand": { "processors_milli": u32::MAX,
    "memory_mb": u32::MAX, "accelerators": u32::MAX } }])))]
#[tokio::test]
async fn jobs_beside_an_odd_record_are_followed(#[case] value: Vec<u8>) {
    let (memory, lines) = (Memory::default(), Lines::default());
    memory.put(&key::job(Id::new(1)), &value);
    memory.put(&key::job(Id::new(2)), &sound_record());
    let entry = start_entry(&memory, &lines).await;
    let is_listed_queued = has_queued(&entry, 1).await;

    memory.put(&key::job(Id::new(3)), &value);
    memory.put(&key::job(Id::new(4)), &sound_record());
    let is_watched_queued = has_queued(&entry, 2).await;

    assert!(is_listed_queued, "the listed job");
    assert!(is_watched_queued, "the watched job");
    assert_eq!(memory.writes(key::FENCE), 1, "takeovers");
}

/// Guards against an entry among the progress records that can't be read and keeps each owner from
/// loading its state.
#[rstest]
#[case::deep(Some(deep(300)))]
#[case::very_deep(Some(deep(100_000)))]
#[case::not_utf8(Some(b"\xff\xfe".to_vec()))]
#[case::without_a_key(None)]
#[tokio::test]
async fn jobs_beside_an_odd_progress_record_are_followed(#[case] value: Option<Vec<u8>>) {
    let (memory, lines) = (Memory::default(), Lines::default());
    memory.put(&key::job(Id::new(2)), &sound_record());
    match value {
        Some(value) => memory.put("tq/progress/x", &value),
        None => memory.add_keyless_entry(key::PROGRESS),
    }
    let entry = start_entry(&memory, &lines).await;

    let is_queued = has_queued(&entry, 1).await;

    assert!(is_queued, "the job isn't followed");
}

/// Guards against a progress record that names tasks that the job doesn't have, and ends each owner.
#[rstest]
#[case::occurrence(json!({ "done": [[4_294_967_295_u32, 0, 0, 0]] }))]
#[case::step(json!({ "done": [[0, 65_535, 0, 0]] }))]
#[case::tasks(json!({ "done": [[0, 0, 1, 99_999]] }))]
#[case::tally(json!({ "tallies": [{ "place": { "occurrence": 0, "step": 9, "index": 9 },
    "failed": [18_446_744_073_709_551_615_u64] }] }))]
#[tokio::test]
async fn progress_of_unknown_tasks_does_not_end_the_owner(#[case] progress: serde_json::Value) {
    let (memory, lines) = (Memory::default(), Lines::default());
    for number in 1..=2 {
        memory.put(&key::job(Id::new(number)), &sound_record());
    }
    let progress = progress.to_string();
    memory.put(&key::progress(Id::new(1)), progress.as_bytes());
    let entry = start_entry(&memory, &lines).await;

    let is_queued = has_queued(&entry, 2).await;

    assert!(is_queued, "the jobs aren't followed");
}

/// Guards against a job that runs again because its progress record can't be read, while another
/// record's key can't be read either.
#[tokio::test]
async fn job_whose_progress_record_lost_its_key_is_withheld() {
    let (memory, lines) = (Memory::default(), Lines::default());
    for number in 1..=2 {
        memory.put(&key::job(Id::new(number)), &sound_record());
    }
    memory.put_unreadable(&key::progress(Id::new(1)));
    memory.hide_key(key::PROGRESS);
    let entry = start_entry(&memory, &lines).await;

    let is_queued = has_queued(&entry, 1).await;

    assert!(is_queued, "both jobs run, or none");
    assert_eq!(lines.of("job_withheld").len(), 1);
}

/// Returns the registration of an entry.
fn candidate(address: SocketAddr, capacity: u32) -> Vec<u8> {
    let candidate = json!({ "address": address, "process": 9, "capacity": capacity });
    candidate.to_string().into_bytes()
}

/// Guards against an entry among those of the entries that keeps this one from becoming the owner
/// or from registering itself, or makes it write its registration again and again.
#[rstest]
#[case::deep(deep(300))]
#[case::very_deep(deep(100_000))]
#[case::number(br#"{"address":"127.0.0.1:1","process":1,"capacity":1e999}"#.to_vec())]
#[case::number_above_64_bits(
    br#"{"address":"127.0.0.1:1","process":1,"capacity":36893488147419103232}"#.to_vec()
)]
#[case::port(br#"{"address":"10.0.0.1:99999","process":1,"capacity":9}"#.to_vec())]
#[case::not_utf8(b"\xff\xfe".to_vec())]
#[case::unreachable(candidate(free_address(), u32::MAX))]
#[tokio::test]
async fn odd_candidates_do_not_prevent_an_election(#[case] value: Vec<u8>) {
    let (memory, lines) = (Memory::default(), Lines::default());
    memory.put(&key::entry("front-0"), &value);
    memory.put(&key::entry("front-1"), &value);
    let entry = start_entry(&memory, &lines).await;

    let has_owner = has_owner(&entry).await;
    sleep(Duration::from_millis(1_600)).await;

    assert!(has_owner, "no owner");
    assert_eq!(memory.writes(&key::entry("front-1")), 1, "registrations");
}

/// Guards against a registration with this entry's address under another name, to which the entry
/// hands its role over again and again.
#[tokio::test]
async fn candidate_with_the_own_address_gets_no_role() {
    let (memory, lines) = (Memory::default(), Lines::default());
    let address = free_address();
    memory.put("configuration", b"1");
    memory.put(&key::entry("front-0"), &candidate(address, u32::MAX));
    let entry = start_entry_at(address, &memory, &lines).await;
    assert!(has_owner(&entry).await, "no owner");

    sleep(Duration::from_millis(6_000)).await;

    assert!(
        entry.is_ready(),
        "the entry isn't ready and could not be asked"
    );
    assert_eq!(memory.writes(key::FENCE), 1, "takeovers");
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        id: "w".to_owned(),
        sequence: 1,
        worker: session::Worker {
            incarnation: 1_000,
            pool: "desk".to_owned(),
            capacity: Resources::ZERO,
            labels: Default::default(),
            is_draining: false,
            remaining_ms: None,
        },
    }
}

/// Returns a list of the worker that the heartbeat announces.
fn list_without_attempts() -> worker::Reply {
    worker::Reply::Attempts(AttemptList {
        incarnation: heartbeat().worker.incarnation,
        called_at: Clock.now(),
        ..AttemptList::default()
    })
}

/// Starts a companion of the host h1, and returns its address.
async fn start_companion(memory: &Memory, lines: &Lines) -> (Companion, SocketAddr) {
    let settings = companion::Settings {
        name: "h1".to_owned(),
        process: 7,
        listen: free_address(),
    };
    let address = settings.listen;
    let worker = Worker::new(|_call, _deadline| {
        async {
            sleep(Duration::from_millis(100)).await;
            list_without_attempts()
        }
        .boxed()
    });
    let companion = Companion::start(settings, memory.store(), worker, &lines.logger()).await;
    (companion.expect("the companion starts"), address)
}

/// Guards against an own registration that can't be read and that a companion never replaces, so
/// that no owner uses its host.
#[rstest]
#[case::deep(Some(deep(300)))]
#[case::port(Some(br#"{"address":"10.0.0.1:99999","process":1}"#.to_vec()))]
#[case::unreadable(None)]
#[tokio::test]
async fn companion_replaces_an_odd_registration(#[case] value: Option<Vec<u8>>) {
    let (memory, lines) = (Memory::default(), Lines::default());
    let key = key::host("h1");
    match value {
        Some(value) => memory.put(&key, &value),
        None => memory.put_unreadable(&key),
    }
    let (companion, address) = start_companion(&memory, &lines).await;
    companion.record_heartbeat(heartbeat());
    sleep(Duration::from_millis(400)).await;
    companion.deregister_worker("w", None);
    sleep(Duration::from_millis(800)).await;

    let value = memory.get(&key).map(|item| item.value);
    memory.put_unreadable(&key);
    timeout(Duration::from_secs(2), companion.stop())
        .await
        .expect("a stop in time");

    let expected = Registration {
        address,
        process: 7,
    }
    .to_bytes();
    assert_eq!(value, Some(expected));
    assert_eq!(memory.get(&key), None, "the registration remains");
}

/// Guards against a registration that can't be read and that the owner tries to remove for ever.
#[tokio::test]
async fn unreadable_registration_of_a_silent_host_is_not_removed_again_and_again() {
    let (memory, lines) = (Memory::default(), Lines::default());
    let (silent, other) = (Host::start("h1").await, Host::start("h2").await);
    memory.put(&key::host("h1"), &silent.registration());
    memory.put(&key::host("h2"), &other.registration());
    let _entry = start_entry(&memory, &lines).await;
    assert!(
        silent.becomes(true).await && other.becomes(true).await,
        "no session"
    );

    drop(silent);
    memory.put_unreadable(&key::host("h1"));
    sleep(Duration::from_millis(24_000)).await;

    assert_eq!(lines.of("host_forgotten").len(), 1);
    assert!(
        lines.of("forgetting_failed").len() <= 1,
        "the removal is repeated"
    );
}

/// Guards against a registration with the address of another host, whose sessions replace those of
/// that host again and again.
#[tokio::test]
async fn registration_with_the_address_of_another_host_does_not_end_its_sessions() {
    let (memory, lines) = (Memory::default(), Lines::default());
    let (_companion, address) = start_companion(&memory, &lines).await;
    let _entry = start_entry(&memory, &lines).await;
    sleep(Duration::from_millis(500)).await;

    let registration = Registration {
        address,
        process: 9,
    };
    memory.put(&key::host("h9"), &registration.to_bytes());
    sleep(Duration::from_millis(3_000)).await;

    let (began, ended) = (lines.of("session_began"), lines.of("session_broken"));
    assert!((1..=3).contains(&began.len()), "{} sessions", began.len());
    assert!(ended.len() <= 2, "{} broken sessions", ended.len());
}

/// Guards against a progress record or a fence that can't be read and keeps the owner from recording
/// the ends of other jobs.
#[rstest]
#[case::progress(key::progress(Id::new(1)))]
#[case::fence(key::FENCE.to_owned())]
#[tokio::test]
async fn ends_beside_an_unreadable_record_are_recorded(#[case] odd: String) {
    let (memory, lines) = (Memory::default(), Lines::default());
    for number in 1..=2 {
        memory.put(&key::job(Id::new(number)), &sound_record());
    }
    let entry = start_entry(&memory, &lines).await;
    assert!(has_queued(&entry, 2).await, "the jobs aren't followed");

    memory.put_unreadable(&odd);
    for number in 1..=2 {
        memory.put(&key::cancel(Id::new(number)), b"");
    }
    let deadline = Instant::now() + OWNER_TIMEOUT;
    let is_recorded = || (1..=2).all(|number| memory.is_readable(&key::progress(Id::new(number))));
    while !is_recorded() && Instant::now() < deadline {
        sleep(Duration::from_millis(20)).await;
    }

    assert!(is_recorded(), "an end isn't recorded");
}
