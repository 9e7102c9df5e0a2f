//! Calls to a store with injected faults.

use std::time::Duration;

use rstest::rstest;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, timeout},
};
use toucanquay_model::ErrorKind;
use toucanquay_standin::{Store, store::Call};
use toucanquay_store::{Client, DeleteOutcome, Event, Expected, PutOutcome};

fn client(store: &Store) -> Client {
    Client::builder(store.address(), "entry-1")
        .calls_per_second(500)
        .call_deadline(Duration::from_millis(900))
        .build()
        .unwrap()
}

async fn start() -> (Store, Client) {
    let store = Store::start().await.unwrap();
    let client = client(&store);
    (store, client)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Waits until the store has a revision beyond `revision`.
async fn wait_for_write(store: &Store, revision: u64) {
    while store.revision() <= revision {
        sleep(ms(1)).await;
    }
}

/// Waits until more than `polls` polls of watches have arrived.
async fn wait_for_polls(store: &Store, polls: u64) {
    while store.calls(Call::Watch) <= polls {
        sleep(ms(1)).await;
    }
}

/// Reads until the breaker opens.
async fn fail_until_refused(client: &Client) {
    let fail = async {
        while client.is_available() {
            let _ = client.get("a").await;
        }
    };
    timeout(ms(5_000), fail).await.expect("the breaker opens");
}

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

/// Guards against a write that took effect but is reported as having had no effect.
#[tokio::test]
async fn outage_after_a_lost_answer_leaves_the_outcome_unknown() {
    let (store, client) = start().await;
    store.lose_responses(Call::Put, 1);

    let put = client.put("a", "1", Expected::Absent, None);
    let outage = async {
        wait_for_write(&store, 0).await;
        store.set_down(true);
    };
    let (put, ()) = tokio::join!(put, outage);

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
    store.lose_responses(Call::Put, 1);

    let put = client.put("a", "1", Expected::Absent, None);
    let other = async {
        wait_for_write(&store, 0).await;
        store.write("a", "2");
    };
    let (put, ()) = tokio::join!(put, other);

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
    store.lose_responses(Call::Put, 1);

    let put = client.put("claim/1", "1", expected, None);
    let other = async {
        wait_for_write(&store, 0).await;
        store.remove("claim/1");
    };
    let (put, ()) = tokio::join!(put, other);

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
    let successor = self::client(&store);
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
    store.lose_responses(Call::Put, 1);

    let put = client.put("a", "1", Expected::Absent, None);
    let other = async {
        wait_for_write(&store, 0).await;
        store.write("a", "2");
        store.compact();
    };
    let (put, ()) = tokio::join!(put, other);

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

/// Guards against changes that are lost or repeated when polls fail before or after their response.
#[tokio::test]
async fn watch_survives_broken_polls() {
    const CHANGES: u64 = 200;
    let (store, client) = start().await;
    let mut watch = client.watch("config/", 0);

    let writes = async {
        for number in 0..CHANGES {
            store.write(&format!("config/{}", number % 7), &number.to_string());
            store.write("other", "x");
            match number % 20 {
                5 => store.drop_watches(),
                10 => store.lose_responses(Call::Watch, 1),
                _ => {}
            }
            // This call makes the client observe a revision that the watch has not reached.
            client.get("other").await.unwrap();
            sleep(ms(1)).await;
        }
    };
    let reads = async {
        let mut values = Vec::new();
        while values.len() < CHANGES as usize {
            let Event::Change(change) = watch.next().await else {
                panic!()
            };
            values.push(change.value.unwrap());
        }
        values
    };
    let ((), values) = timeout(ms(20_000), async { tokio::join!(writes, reads) })
        .await
        .unwrap();

    let expected: Vec<String> = (0..CHANGES).map(|number| number.to_string()).collect();
    assert_eq!(values, expected);
    assert!(store.calls(Call::Watch) > 10);
}

/// Guards against broken polls that count as an outage and block other calls.
#[tokio::test]
async fn broken_polls_do_not_open_the_breaker() {
    let (store, client) = start().await;
    let mut watch = client.watch("config/", 0);

    for _ in 0..10 {
        let polls = store.calls(Call::Watch);
        while store.calls(Call::Watch) == polls {
            let _ = timeout(ms(20), watch.next()).await;
        }
        let drop_polls = async {
            sleep(ms(5)).await;
            store.drop_watches();
        };
        let _ = tokio::join!(timeout(ms(20), watch.next()), drop_polls);
    }

    assert!(client.is_available());
}

/// Guards against changes during an outage that a watch misses, and a watch that does not recover.
#[tokio::test]
async fn watch_survives_an_outage() {
    let (store, client) = start().await;
    let mut watch = client.watch("config/", 0);
    store.write("config/a", "1");
    assert!(matches!(watch.next().await, Event::Change(change) if change.revision == 1));

    store.set_down(true);
    let during = timeout(ms(700), watch.next()).await;
    store.write("config/a", "2");
    store.set_down(false);
    let after = timeout(ms(5_000), watch.next()).await.unwrap();

    assert!(during.is_err());
    assert!(matches!(after, Event::Change(change) if change.value.as_deref() == Some("2")));
}

/// Guards against a watch that, as the only caller after an outage, keeps the breaker open because
/// its probes wait for changes that do not occur.
#[tokio::test]
async fn idle_watch_closes_the_breaker() {
    let (store, client) = start().await;
    let mut watch = client.watch("config/", 0);
    store.set_down(true);
    fail_until_refused(&client).await;
    store.set_down(false);
    let polls = store.calls(Call::Watch);

    let next_poll = async {
        wait_for_polls(&store, polls).await;
        let probe = Instant::now();
        wait_for_polls(&store, polls + 1).await;
        probe.elapsed()
    };
    let elapsed = tokio::select! {
        event = watch.next() => panic!("nothing changed, but {event:?}"),
        elapsed = timeout(ms(5_000), next_poll) => elapsed.unwrap(),
    };
    let read = client.get("a").await;

    // A probe that waits for changes times out after 300 ms, a third of the deadline.
    assert!(elapsed < ms(200), "{elapsed:?}");
    assert!(read.is_ok(), "{read:?}");
}

/// Guards against a watch that silently skips changes that the store has compacted.
#[tokio::test]
async fn watch_reports_a_gap() {
    let (store, client) = start().await;
    store.write("config/a", "1");
    store.compact();

    let mut watch = client.watch("config/", 0);
    let event = timeout(ms(2_000), watch.next()).await.unwrap();

    assert_eq!(event, Event::Gap { after: 0 });
}

/// Guards against a watch that loses changes when its caller cancels a wait.
#[tokio::test]
async fn cancelled_wait_loses_no_change() {
    let (store, client) = start().await;
    let mut watch = client.watch("config/", 0);
    let mut seen = Vec::new();

    for number in 1..=50 {
        store.write("config/a", &number.to_string());
        if let Ok(Event::Change(change)) = timeout(Duration::from_micros(700), watch.next()).await {
            seen.push(change.revision);
        }
    }
    while seen.len() < 50 {
        let Event::Change(change) = watch.next().await else {
            panic!()
        };
        seen.push(change.revision);
    }

    assert_eq!(seen, (1..=50).collect::<Vec<_>>());
}
