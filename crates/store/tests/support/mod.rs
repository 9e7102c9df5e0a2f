//! Fixtures: a store with injected faults, and a client of it.

#![expect(
    dead_code,
    reason = "each test file is a separate crate and uses only some of the fixtures"
)]

use std::time::Duration;

use tokio::time::{sleep, timeout};
use toucanquay_standin::{Store, store::Call};
use toucanquay_store::Client;

/// Returns a client with a large budget and a short deadline.
pub fn client(store: &Store) -> Client {
    Client::builder(store.address(), "entry-1")
        .calls_per_second(500)
        .call_deadline(Duration::from_millis(900))
        .build()
        .unwrap()
}

/// Starts a store and a client of it.
pub async fn start() -> (Store, Client) {
    let store = Store::start().await.unwrap();
    let client = client(&store);
    (store, client)
}

/// Returns a duration in milliseconds.
pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Waits until the store has a revision beyond `revision`.
pub async fn wait_for_write(store: &Store, revision: u64) {
    while store.revision() <= revision {
        sleep(ms(1)).await;
    }
}

/// Waits until more than `polls` polls of watches have arrived.
pub async fn wait_for_polls(store: &Store, polls: u64) {
    while store.calls(Call::Watch) <= polls {
        sleep(ms(1)).await;
    }
}

/// Reads until the breaker opens.
pub async fn fail_until_refused(client: &Client) {
    let fail = async {
        while client.is_available() {
            let _ = client.get("a").await;
        }
    };
    timeout(ms(5_000), fail).await.expect("the breaker opens");
}
