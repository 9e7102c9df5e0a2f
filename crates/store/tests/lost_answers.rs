//! Writes and deletions whose answers are lost or late.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::{ms, start, wait_for_write};
use tokio::time::sleep;
use toucanquay_model::{Error, ErrorKind};
use toucanquay_standin::{Store, store::Call};
use toucanquay_store::{Client, DeleteOutcome, Expected, PutOutcome};

/// Writes "1" at `key` without the answer, runs `meanwhile` once the write has taken effect, and
/// returns the outcome of the write.
async fn put_with_lost_answer(
    store: &Store,
    client: &Client,
    key: &str,
    expected: Expected,
    meanwhile: impl FnOnce(&Store),
) -> Result<PutOutcome, Error> {
    store.lose_responses(Call::Put, 1);
    let put = client.put(key, "1", expected, None);
    let other = async {
        wait_for_write(store, 0).await;
        meanwhile(store);
    };
    let (put, ()) = tokio::join!(put, other);
    put
}

/// Guards against a write that took effect but is reported as having had no effect.
#[tokio::test]
async fn outage_after_a_lost_answer_leaves_the_outcome_unknown() {
    let (store, client) = start().await;

    let put = put_with_lost_answer(&store, &client, "a", Expected::Absent, |store| {
        store.set_down(true);
    })
    .await;

    assert_eq!(put.unwrap_err().kind(), ErrorKind::OutcomeUnknown);
    assert!(store.get("a").is_some());
}

/// Guards against a lost response that causes a conflict with the client's own write, or a second
/// write.
#[rstest]
#[case(Expected::Absent, 2)]
#[case(Expected::Revision(1), 2)]
#[case(Expected::Any, 2)]
#[tokio::test]
async fn lost_answer_to_a_write_is_resolved(#[case] expected: Expected, #[case] revision: u64) {
    let (store, client) = start().await;
    store.write("a", "0");
    let key = if expected == Expected::Absent {
        "b"
    } else {
        "a"
    };
    store.lose_responses(Call::Put, 1);

    let put = client.put(key, "1", expected, None).await.unwrap();

    assert_eq!(put, PutOutcome::Stored(revision));
    assert_eq!(store.revision(), revision);
}

/// Guards against a write that is reported as a conflict or retried because another process has
/// overwritten it.
#[tokio::test]
async fn lost_answer_is_resolved_after_another_write() {
    let (store, client) = start().await;

    let put = put_with_lost_answer(&store, &client, "a", Expected::Absent, |store| {
        store.write("a", "2");
    })
    .await;

    assert_eq!(put.unwrap(), PutOutcome::Stored(1));
    assert_eq!(store.get("a").unwrap().value, "2");
}

/// Guards against a retried write that recreates a key, such as a claim, that was deleted
/// meanwhile.
#[rstest]
#[case(Expected::Absent)]
#[case(Expected::Any)]
#[tokio::test]
async fn lost_answer_is_resolved_after_a_deletion(#[case] expected: Expected) {
    let (store, client) = start().await;

    let put = put_with_lost_answer(&store, &client, "claim/1", expected, |store| {
        store.remove("claim/1");
    })
    .await;

    assert_eq!(put.unwrap(), PutOutcome::Stored(1));
    assert_eq!(store.get("claim/1"), None);
}

/// Guards against a conflict that is taken for a success because its response was lost.
#[tokio::test]
async fn lost_conflict_is_a_conflict() {
    let (store, client) = start().await;
    store.write("a", "other");
    store.lose_responses(Call::Put, 1);

    let put = client.put("a", "1", Expected::Absent, None).await.unwrap();

    assert!(matches!(put, PutOutcome::Conflict(Some(item)) if item.value == "other"));
    assert_eq!(store.revision(), 1);
}

/// Guards against a restarted process that takes a value of its previous run for its own.
#[tokio::test]
async fn value_of_a_predecessor_is_a_conflict() {
    let (store, predecessor) = start().await;
    let successor = support::client(&store);
    predecessor
        .put("a", "1", Expected::Absent, None)
        .await
        .unwrap();
    store.lose_responses(Call::Put, 1);

    let put = successor.put("a", "2", Expected::Absent, None).await;

    assert!(matches!(put.unwrap(), PutOutcome::Conflict(Some(item)) if item.value == "1"));
}

/// Guards against a definite outcome of a write when the store has compacted the history of its
/// key.
#[tokio::test]
async fn lost_answer_with_forgotten_history_is_unknown() {
    let (store, client) = start().await;

    let put = put_with_lost_answer(&store, &client, "a", Expected::Absent, |store| {
        store.write("a", "2");
        store.compact();
    })
    .await;

    assert_eq!(put.unwrap_err().kind(), ErrorKind::OutcomeUnknown);
}

/// Guards against a write that takes effect twice because its first attempt arrived late.
#[tokio::test]
async fn late_first_attempt_does_not_write_twice() {
    let (store, client) = start().await;
    store.set_delay(ms(400));

    let put = client.put("a", "1", Expected::Absent, None);
    let recovery = async {
        sleep(ms(100)).await;
        store.set_delay(Duration::ZERO);
    };
    let (put, ()) = tokio::join!(put, recovery);
    sleep(ms(400)).await;

    assert_eq!(put.unwrap(), PutOutcome::Stored(1));
    assert_eq!(store.calls(Call::Put), 2);
    assert_eq!(store.revision(), 1);
}

/// Guards against a conflict with the client's own first attempt, which arrived after the key was
/// read back.
#[tokio::test]
async fn late_first_attempt_before_the_repetition_is_recognised() {
    let store = Store::start().await.unwrap();
    let client = Client::builder(store.address(), "entry-1")
        .call_deadline(ms(1_800))
        .build()
        .unwrap();
    store.write("a", "0");
    store.set_delay(ms(800));

    let put = client.put("a", "1", Expected::Revision(1), None);
    let recovery = async {
        sleep(ms(100)).await;
        store.set_delay(ms(120));
    };
    let (put, ()) = tokio::join!(put, recovery);

    assert_eq!(put.unwrap(), PutOutcome::Stored(2));
    assert_eq!((store.calls(Call::Put), store.revision()), (2, 2));
}

/// Guards against a deletion that took effect but is reported as one of an absent key.
#[tokio::test]
async fn lost_answer_to_a_deletion_is_resolved() {
    let (store, client) = start().await;
    let revision = store.write("a", "1");
    store.lose_responses(Call::Delete, 1);

    let gone = client.delete("a", Expected::Revision(revision)).await;

    assert_eq!(gone.unwrap(), DeleteOutcome::Deleted);
    assert_eq!(store.revision(), 2);
}
