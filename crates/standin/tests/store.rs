//! Tests of the stand-in for the store over HTTP.

use std::time::Duration;

use reqwest::{Client, StatusCode};
use serde_json::{Value, json};
use toucanquay_standin::{Store, store::Call};

fn url(store: &Store, path: &str) -> String {
    format!("http://{}/v1/{path}", store.address())
}

async fn put(store: &Store, key: &str, body: Value) -> (StatusCode, Value) {
    let request = Client::new().put(url(store, &format!("keys/{key}")));
    let response = request.json(&body).send().await.unwrap();
    let status = response.status();
    (status, response.json().await.unwrap_or_default())
}

async fn get(store: &Store, path: &str) -> (StatusCode, Value) {
    let response = Client::new().get(url(store, path)).send().await.unwrap();
    let status = response.status();
    (status, response.json().await.unwrap_or_default())
}

/// Guards against a conditional write that overwrites the value of a concurrent writer.
#[tokio::test]
async fn put_compares_the_revision() {
    let store = Store::start().await.unwrap();

    let created = put(&store, "a/b", json!({ "value": "1", "expected": 0 })).await;
    let again = put(&store, "a/b", json!({ "value": "2", "expected": 0 })).await;
    let changed = put(&store, "a/b", json!({ "value": "3", "expected": 1 })).await;

    assert_eq!(created, (StatusCode::OK, json!({ "revision": 1 })));
    assert_eq!(again.0, StatusCode::CONFLICT);
    assert_eq!(again.1["current"]["value"], "1");
    assert_eq!(changed, (StatusCode::OK, json!({ "revision": 2 })));
    assert_eq!(get(&store, "keys/a/b").await.1["value"], "3");
}

/// Guards against a watch that misses the deletion of a key when its lease expires.
#[tokio::test]
async fn watch_sees_the_expiry_of_a_lease() {
    let store = Store::start().await.unwrap();
    let request = Client::new().post(url(&store, "leases"));
    let request = request.json(&json!({ "ttl_ms": 100 }));
    let lease: Value = request.send().await.unwrap().json().await.unwrap();
    let value = json!({ "value": "x", "lease": lease["lease"] });
    put(&store, "entry/1", value).await;

    let (_, response) = get(&store, "watch?prefix=entry/&after=1&wait_ms=5000").await;

    let expected = json!([{ "key": "entry/1", "value": null, "revision": 2 }]);
    assert_eq!(response["events"], expected);
}

/// Guards against injected faults that have no effect, so that tests that use them would pass
/// without testing anything.
#[tokio::test]
async fn faults_happen() {
    let store = Store::start().await.unwrap();

    store.lose_responses(Call::Put, 1);
    let request = Client::new().put(url(&store, "keys/a"));
    let lost = request.json(&json!({ "value": "1" })).send().await;
    store.set_stale(true);
    store.write("a", "2");
    let stale = get(&store, "keys/a").await.1;
    store.set_stale(false);
    store.set_down(true);
    let down = get(&store, "keys/a").await.0;
    store.set_down(false);
    store.compact();
    let gone = get(&store, "watch?prefix=a&after=1").await.0;

    assert!(lost.is_err());
    assert_eq!(stale["value"], "1");
    assert_eq!(down, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(gone, StatusCode::GONE);
    assert_eq!(store.get("a").unwrap().value, "2");
    assert_eq!(store.calls(Call::Get), 2);
}

/// Guards against leases that expire during an outage, when their holders cannot keep them alive.
#[tokio::test]
async fn leases_do_not_expire_while_the_store_is_down() {
    let store = Store::start().await.unwrap();
    let request = Client::new().post(url(&store, "leases"));
    request
        .json(&json!({ "ttl_ms": 150 }))
        .send()
        .await
        .unwrap();
    put(&store, "entry/1", json!({ "value": "x", "lease": 1 })).await;

    store.set_down(true);
    tokio::time::sleep(Duration::from_millis(300)).await;
    store.set_down(false);
    let after_outage = store.get("entry/1");
    tokio::time::sleep(Duration::from_millis(300)).await;

    assert!(after_outage.is_some());
    assert!(store.get("entry/1").is_none());
}
