//! Watches of a store with injected faults.

mod support;

use std::time::Duration;

use support::{fail_until_refused, ms, start, wait_for_polls};
use tokio::time::{Instant, sleep, timeout};
use toucanquay_standin::store::Call;
use toucanquay_store::Event;

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
