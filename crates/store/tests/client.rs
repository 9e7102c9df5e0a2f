//! Calls to a store without injected faults.

use std::time::Duration;

use toucanquay_model::ErrorKind;
use toucanquay_standin::Store;
use toucanquay_store::{Client, DeleteOutcome, Event, Expected, PutOutcome};

async fn store() -> (Store, Client) {
    let store = Store::start().await.unwrap();
    let client = Client::builder(store.address(), "entry-1")
        .calls_per_second(200)
        .build()
        .unwrap();
    (store, client)
}

fn stored(put: PutOutcome) -> u64 {
    match put {
        PutOutcome::Stored(revision) => revision,
        other => panic!("not stored: {other:?}"),
    }
}

/// Guards against keys and values that are altered by their encoding in URLs and JSON.
#[tokio::test]
async fn special_characters_round_trip() {
    let (_store, client) = store().await;
    let key = "claim/desk/a b%2Fc?d=é&#+";
    let value = "{\"quote\": \"\\\"\"}\nline é";

    stored(
        client
            .put(key, value, Expected::Absent, None)
            .await
            .unwrap(),
    );
    let item = client.get(key).await.unwrap().unwrap();
    let range = client.range("claim/desk/a b%2").await.unwrap();

    assert_eq!((item.key.as_str(), item.value.as_str()), (key, value));
    assert_eq!(range.items, [item]);
}

/// Guards against malformed keys that reach the store as another key, and oversized values that are
/// sent.
#[tokio::test]
async fn malformed_keys_and_oversized_values_are_rejected() {
    let (store, client) = store().await;

    for key in ["", "a//b", "/a", "a/", "a/../b", "a/.", "a\nb"] {
        let error = client.get(key).await.unwrap_err();
        assert_eq!(error.kind(), ErrorKind::InvalidField, "{key:?}");
    }
    let value = "x".repeat(1_000_000);
    let large = client.put("a", &value, Expected::Any, None).await;

    assert_eq!(large.unwrap_err().kind(), ErrorKind::BodyTooLarge);
    assert_eq!(store.calls_total(), 0);
}

/// Guards against an unmet condition that is reported as an error or not checked.
#[tokio::test]
async fn comparison_decides_writes_and_deletions() {
    let (_store, client) = store().await;
    let first = stored(client.put("a", "1", Expected::Absent, None).await.unwrap());
    let second = client.put("a", "2", Expected::Revision(first), None);
    let second = stored(second.await.unwrap());

    let stale = client.put("a", "3", Expected::Revision(first), None);
    let stale = stale.await.unwrap();
    let kept = client.delete("a", Expected::Revision(first)).await.unwrap();
    let gone = client
        .delete("a", Expected::Revision(second))
        .await
        .unwrap();
    let absent = client.delete("a", Expected::Any).await.unwrap();

    assert!(matches!(stale, PutOutcome::Conflict(Some(item)) if item.value == "2"));
    assert!(matches!(kept, DeleteOutcome::Conflict(item) if item.revision == second));
    assert_eq!(
        (gone, absent),
        (DeleteOutcome::Deleted, DeleteOutcome::Absent)
    );
}

/// Guards against a lease whose end is not noticed by its holder.
#[tokio::test]
async fn lease_ends_are_reported() {
    let (store, client) = store().await;
    let lease = client.grant(Duration::from_secs(5)).await.unwrap();
    let put = client.put("entry/1", "x", Expected::Absent, Some(lease.id));
    stored(put.await.unwrap());
    let kept = client.keep_alive(lease.id).await.unwrap().unwrap();

    assert!(store.expire_lease_of_key("entry/1"));
    let ended = client.keep_alive(lease.id).await.unwrap();
    let put = client.put("entry/1", "x", Expected::Absent, Some(lease.id));

    assert!(kept.deadline > lease.deadline);
    assert_eq!(ended, None);
    assert_eq!(put.await.unwrap(), PutOutcome::LeaseEnded);
    assert_eq!(client.get("entry/1").await.unwrap(), None);
}

/// Guards against a watch that misses changes made before it or between two polls.
#[tokio::test]
async fn watch_yields_changes_in_order() {
    let (store, client) = store().await;
    store.write("config/a", "0");
    let range = client.range("config/").await.unwrap();
    store.write("config/b", "1");
    store.write("other", "2");
    let mut watch = client.watch("config/", range.revision);

    let first = watch.next().await;
    store.remove("config/a");
    let second = watch.next().await;

    let Event::Change(first) = first else {
        panic!()
    };
    let Event::Change(second) = second else {
        panic!()
    };
    assert_eq!((first.key.as_str(), first.revision), ("config/b", 2));
    assert_eq!((second.key.as_str(), second.value), ("config/a", None));
    assert_eq!(second.revision, 4);
}
