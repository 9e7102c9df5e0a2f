//! Calls to a store that is down, slow, stale or short of budget.

mod support;

use support::{fail_until_refused, ms, start};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, timeout},
};
use toucanquay_model::ErrorKind;
use toucanquay_standin::{Store, store::Call};
use toucanquay_store::{Client, Expected, PutOutcome};

/// Guards against clients that keep calling a store that is down, and errors of another kind.
#[tokio::test]
async fn open_breaker_stops_calls_during_an_outage() {
    let (store, client) = start().await;
    store.set_down(true);
    fail_until_refused(&client).await;
    let before = store.calls_total();

    for _ in 0..200 {
        let error = client.get("a").await.unwrap_err();
        assert_eq!(error.kind(), ErrorKind::StoreUnavailable);
    }

    // A probe may pass when the machine is slow.
    assert!(store.calls_total() - before <= 1);
}

/// Guards against a client that does not recover after an outage.
#[tokio::test]
async fn calls_succeed_again_after_an_outage() {
    let (store, client) = start().await;
    store.set_down(true);
    fail_until_refused(&client).await;

    store.set_down(false);
    let recovered = timeout(ms(3_000), async {
        while client.get("a").await.is_err() {
            sleep(ms(5)).await;
        }
    });

    recovered.await.unwrap();
}

/// Guards against a rejected write that is reported as ambiguous, and against a write that takes
/// effect although it is reported as having had none.
#[tokio::test]
async fn write_during_an_outage_had_no_effect() {
    let (store, client) = start().await;
    store.set_down(true);

    let refused = client.put("a", "1", Expected::Absent, None).await;
    store.set_down(false);

    assert_eq!(refused.unwrap_err().kind(), ErrorKind::StoreUnavailable);
    assert_eq!(store.get("a"), None);
}

/// Guards against the loss of a lease because of one lost response, and a lease deadline that
/// counts from the arrival of the response.
#[tokio::test]
async fn lease_survives_lost_and_late_answers() {
    let (store, client) = start().await;
    store.lose_responses(Call::Grant, 1);
    store.lose_responses(Call::KeepAlive, 1);
    let lease = client.grant(ms(5_000)).await.unwrap();
    store.set_response_delay(ms(200));

    let before = Instant::now();
    let kept = client.keep_alive(lease.id).await;

    let kept = kept.unwrap().unwrap();
    assert!(kept.deadline >= before + ms(5_000));
    assert!(kept.deadline < Instant::now() + ms(4_900));
}

/// Guards against a lease that expires because other calls have exhausted the budget.
#[tokio::test]
async fn keep_alive_ignores_an_exhausted_budget() {
    let store = Store::start().await.unwrap();
    let client = Client::builder(store.address(), "entry-1")
        .calls_per_second(5)
        .call_deadline(ms(300))
        .build()
        .unwrap();
    let lease = client.grant(ms(5_000)).await.unwrap();
    let mut callers = JoinSet::new();
    for _ in 0..10 {
        let client = client.clone();
        callers.spawn(async move {
            loop {
                let _ = client.get("a").await;
                sleep(ms(1)).await;
            }
        });
    }
    sleep(ms(100)).await;

    let kept = timeout(ms(100), client.keep_alive(lease.id)).await;
    let read = client.get("a").await;

    assert!(read.is_err(), "the budget was not exhausted");
    assert!(kept.unwrap().unwrap().is_some());
}

/// Guards against a slow store that delays its callers past their deadline.
#[tokio::test]
async fn slow_store_delays_no_caller_past_the_deadline() {
    let (store, client) = start().await;
    store.set_delay(ms(10_000));

    let before = Instant::now();
    let read = client.get("a").await;
    let elapsed = before.elapsed();
    let write = client.put("a", "1", Expected::Absent, None).await;

    assert_eq!(read.unwrap_err().kind(), ErrorKind::StoreUnavailable);
    assert_eq!(write.unwrap_err().kind(), ErrorKind::OutcomeUnknown);
    assert!(elapsed < ms(1_000), "{elapsed:?}");
}

/// Guards against reads older than a revision that the caller has already observed.
#[tokio::test]
async fn stale_read_is_repeated_until_it_is_fresh() {
    let (store, client) = start().await;
    store.write("a", "old");
    store.set_stale(true);
    let put = client.put("a", "new", Expected::Revision(1), None).await;
    assert_eq!(put.unwrap(), PutOutcome::Stored(2));

    let recovery = async {
        sleep(ms(100)).await;
        store.set_stale(false);
    };
    let (read, ()) = tokio::join!(client.get("a"), recovery);

    assert_eq!(read.unwrap().unwrap().value, "new");
}

/// Guards against stale reads that are returned when no fresh one is available.
#[tokio::test]
async fn stale_read_is_reported_when_it_lasts() {
    let (store, client) = start().await;
    store.write("a", "old");
    store.set_stale(true);
    client
        .put("b", "new", Expected::Absent, None)
        .await
        .unwrap();

    let absent = client.get("b").await.unwrap_err();
    let range = client.range("a").await.unwrap_err();

    assert_eq!(absent.kind(), ErrorKind::StoreUnavailable);
    assert!(store.calls(Call::Get) > 1, "the read was not retried");
    assert_eq!(range.kind(), ErrorKind::StoreUnavailable);
    assert!(client.is_available(), "stale reads are no outage");
}
