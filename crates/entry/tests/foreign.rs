//! Keys and values in the store that another writer left, beside those of the entries.

#[expect(dead_code, reason = "each test program uses a part of the fixtures")]
mod support;

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use rstest::rstest;
use slog::{Discard, Logger, o};
use support::{start_cluster, wait_until};
use tokio::{
    net::TcpListener,
    time::{Duration, sleep, timeout},
};
use toucanquay_entry::{Entry, Settings};
use toucanquay_standin::Store;

fn deep(levels: usize) -> String {
    "[".repeat(levels) + &"]".repeat(levels)
}

/// Returns the record of an owner that can't be reached.
fn holder(epoch: u64) -> String {
    format!(r#"{{"entry":"e9","address":"127.0.0.1:1","epoch":{epoch}}}"#)
}

async fn start_entry(store: &Store) -> Entry {
    let settings = Settings::new("e0", "a", store.address()).store_calls_per_second(1_000);
    let log = Logger::root(Discard, o!());
    Entry::start(settings, log).await.unwrap()
}

/// Guards against another writer's key that is taken for the holder's, so that no entry becomes the
/// owner.
#[rstest]
#[case::holder(holder(7))]
#[case::deep(deep(300))]
#[case::very_deep(deep(100_000))]
#[case::port(holder(7).replace("127.0.0.1:1", "10.0.0.1:99999"))]
#[case::number(holder(7).replace('7', "1e999"))]
#[tokio::test]
async fn key_beside_the_holders_key_does_not_prevent_a_takeover(#[case] value: String) {
    let store = Store::start().await.unwrap();
    store.write("cell/0/holder-x", &value);

    let entry = start_entry(&store).await;

    wait_until(|| entry.is_owner()).await;
}

/// Guards against another writer's key that changes and that the entries take for a later owner.
#[tokio::test]
async fn owner_is_reached_beside_a_changed_key() {
    let cluster = start_cluster(2, 1).await;
    wait_until(|| cluster.entries.iter().any(Entry::is_owner)).await;

    cluster.store.write("cell/0/holder-x", &holder(u64::MAX));
    sleep(Duration::from_millis(500)).await;

    for entry in &cluster.entries {
        let url = format!("http://{}/jobs", entry.client_address());
        let response = reqwest::get(url).await.unwrap();
        assert_eq!(
            response.status().as_u16(),
            200,
            "{:?}",
            response.text().await
        );
    }
}

/// Guards against an epoch that can't be read, or be followed by another one, and prevents each
/// takeover.
#[rstest]
#[case::deep(deep(300))]
#[case::very_deep(deep(100_000))]
#[case::number(r#"{"epoch":1e999}"#.to_owned())]
#[case::number_above_64_bits(r#"{"epoch":36893488147419103232}"#.to_owned())]
#[case::highest_number(r#"{"epoch":18446744073709551615}"#.to_owned())]
#[tokio::test]
async fn odd_epoch_is_followed_by_a_later_one(#[case] value: String) {
    let store = Store::start().await.unwrap();
    for number in 0..41 {
        store.write("other", &number.to_string());
    }
    store.write("cell/0/owner", &value);

    let entry = start_entry(&store).await;

    wait_until(|| entry.is_owner()).await;
    let record = store.get("cell/0/owner").unwrap().value;
    let json = record.lines().find(|line| line.starts_with('{')).unwrap();
    let json: serde_json::Value = serde_json::from_str(json).unwrap();
    assert!(json["epoch"].as_u64() > Some(41), "{record}");
}

/// Guards against an entry that left while the history of the store was lost and stays in use.
#[tokio::test]
async fn entry_that_left_during_a_gap_of_the_history_is_not_called() {
    let store = Store::start().await.unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let calls = Arc::<AtomicUsize>::default();
    let counter = calls.clone();
    tokio::spawn(async move {
        while listener.accept().await.is_ok() {
            counter.fetch_add(1, Ordering::Relaxed);
        }
    });
    let peer = format!(r#"{{"incarnation":9,"address":"{address}"}}"#);
    store.write("entry/e9", &peer);
    let entry = start_entry(&store).await;
    wait_until(|| calls.load(Ordering::Relaxed) > 0).await;

    store.set_down(true);
    store.remove("entry/e9");
    store.write("other", "1");
    store.compact();
    sleep(Duration::from_millis(200)).await;
    store.set_down(false);
    wait_until(|| entry.is_ready() || entry.is_owner()).await;
    sleep(Duration::from_secs(4)).await;
    let calls_before = calls.load(Ordering::Relaxed);
    sleep(Duration::from_secs(3)).await;

    assert_eq!(calls.load(Ordering::Relaxed), calls_before, "calls");
}

/// Guards against an odd neighbour of the cell's segments that prevents each takeover.
#[rstest]
#[case::deep(deep(300))]
#[case::very_deep(deep(100_000))]
#[tokio::test]
async fn key_beside_the_segments_does_not_prevent_a_takeover(#[case] value: String) {
    let store = Store::start().await.unwrap();
    for key in ["cell/0/segment/x", "cell/0/segment/00", "cell/0/owner-x"] {
        store.write(key, &value);
    }

    let entry = start_entry(&store).await;

    wait_until(|| entry.is_owner()).await;
}

/// Guards against odd sections and entries that keep an entry from following the sound ones.
#[rstest]
#[case::deep(deep(300))]
#[case::very_deep(deep(100_000))]
#[case::number(r#"{"incarnation":1e999,"address":"127.0.0.1:1"}"#.to_owned())]
#[case::port(r#"{"incarnation":1,"address":"10.0.0.1:99999"}"#.to_owned())]
#[tokio::test]
async fn sections_beside_an_odd_one_are_followed(#[case] value: String) {
    let cluster = start_cluster(2, 1).await;

    for key in ["config/section/aaa", "config/section/a b", "entry/aaa"] {
        cluster.store.write(key, &value);
    }
    let section = "state = \"leaving\"\n[services.lookup]\n";
    cluster.store.write("config/section/desk", section);

    for entry in 0..2 {
        let is_refused = async {
            while cluster.send(entry, "GET", "/a", &[]).await.status == 200 {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(Duration::from_secs(5), is_refused).await.unwrap();
    }
}

/// Guards against a section that was removed while the history of the store was lost and stays in
/// force.
#[tokio::test]
async fn section_removed_during_a_gap_of_the_history_is_not_in_force() {
    let cluster = start_cluster(1, 1).await;
    assert_eq!(cluster.send(0, "GET", "/a", &[]).await.status, 200);

    cluster.store.set_down(true);
    cluster.store.remove("config/section/desk");
    cluster.store.write("other", "1");
    cluster.store.compact();
    sleep(Duration::from_millis(200)).await;
    cluster.store.set_down(false);

    let is_refused = async {
        while cluster.send(0, "GET", "/a", &[]).await.status == 200 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    let refused = timeout(Duration::from_secs(15), is_refused).await;
    assert!(refused.is_ok(), "the section is in force");
}
