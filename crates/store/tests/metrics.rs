//! Metrics of the client.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use metrics::{Counter, Gauge, Histogram, Key, KeyName, Metadata, Recorder, SharedString, Unit};
use toucanquay_standin::{Store, store::Call};
use toucanquay_store::{Client, Expected};

/// Records the values of counters and gauges by name and label values.
#[derive(Debug, Default)]
struct TestRecorder {
    values: Mutex<BTreeMap<String, Arc<AtomicU64>>>,
}

impl TestRecorder {
    fn atomic(&self, key: &Key) -> Arc<AtomicU64> {
        let labels = key.labels().map(metrics::Label::value);
        let name = std::iter::once(key.name()).chain(labels);
        let name = name.collect::<Vec<_>>().join(" ");
        Arc::clone(self.values.lock().unwrap().entry(name).or_default())
    }

    fn value(&self, name: &str) -> u64 {
        let values = self.values.lock().unwrap();
        values
            .get(name)
            .map_or(0, |atomic| atomic.load(Ordering::Relaxed))
    }
}

impl Recorder for TestRecorder {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        Counter::from_arc(self.atomic(key))
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        Gauge::from_arc(self.atomic(key))
    }

    fn register_histogram(&self, _: &Key, _: &Metadata<'_>) -> Histogram {
        Histogram::noop()
    }
}

/// Guards against missing metrics about the reasons for refused calls and about ambiguous writes.
#[tokio::test]
async fn calls_refusals_breaker_state_and_ambiguous_writes_are_exported() {
    let recorder = TestRecorder::default();
    let _guard = metrics::set_default_local_recorder(&recorder);
    let store = Store::start().await.unwrap();
    let client = Client::builder(store.address(), "entry-1")
        .calls_per_second(100)
        .call_deadline(Duration::from_millis(300))
        .build()
        .unwrap();
    let slow = Client::builder(store.address(), "entry-1")
        .calls_per_second(1)
        .call_deadline(Duration::from_millis(300))
        .build()
        .unwrap();

    store.lose_responses(Call::Put, 1);
    client.put("a", "1", Expected::Absent, None).await.unwrap();
    slow.get("a").await.unwrap();
    slow.get("a").await.unwrap_err();
    store.set_down(true);
    while client.is_available() {
        let _ = client.get("a").await;
    }
    client.get("a").await.unwrap_err();

    assert_eq!(recorder.value("store_calls_total put failed"), 1);
    assert_eq!(recorder.value("store_calls_total get answered"), 2);
    assert!(recorder.value("store_calls_total get failed") >= 4);
    assert_eq!(recorder.value("store_ambiguous_writes_total stored"), 1);
    assert_eq!(recorder.value("store_refusals_total budget"), 1);
    assert!(recorder.value("store_refusals_total breaker") >= 1);
    assert_eq!(f64::from_bits(recorder.value("store_breaker_state")), 2.0);
}
