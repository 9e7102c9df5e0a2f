//! Tests of elections beside entries in the store that another writer left and that can't be read.

#[expect(dead_code, reason = "the stand-ins are shared with other tests")]
mod support;

use std::net::SocketAddr;

use rstest::rstest;
use serde_json::json;
use support::{
    entry::{OWNER_TIMEOUT, start_entry, start_entry_at},
    free_address,
    log::Lines,
    memory::Memory,
    odd::{deep, replaced},
};
use tokio::time::{Duration, Instant, sleep};
use toucanquay_node::{Entry, key};

/// Maximum time for which an owner acts without a renewal.
const OWNERSHIP: Duration = Duration::from_millis(1_600);

/// Returns a term whose address can't be reached.
fn term(epoch: u64) -> Vec<u8> {
    let term = json!({ "epoch": epoch, "holder": "front-9", "process": 9, "address": "127.0.0.1:1",
        "is_released": false, "renewals": 0 });
    term.to_string().into_bytes()
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
