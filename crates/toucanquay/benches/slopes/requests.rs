//! Latency and cost of forwarded requests, compared with direct requests to the upstream.

use std::time::Duration;

use futures_util::{StreamExt, stream};
use hdrhistogram::Histogram;
use slog::{Discard, Logger, o};
use tokio::time::Instant;
use toucanquay_companion::{Companion, Settings};
use toucanquay_standin::{Store, Upstream};

use super::entry_process::EntryProcess;

/// Numbers of concurrent requests to measure.
const CONCURRENCY_LEVELS: [usize; 3] = [1, 4, 8];

/// Number of requests per printed row.
const REQUESTS_PER_ROW: usize = 4_000;

/// Maximum time until the entry forwards requests to the upstream.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Prints latency, throughput and processor time for direct and for forwarded requests.
pub async fn run() {
    let store = Store::start().await.expect("the store starts");
    store.write(
        "config/section/team",
        "[services.desk]\ndeadline_ms = 10000\n",
    );
    let entry = EntryProcess::start(store.address());
    let upstream = Upstream::start().await.expect("the upstream starts");
    let direct_url = format!("http://{}", upstream.address());
    let settings = Settings::new("worker-0", "desk", "team", direct_url.as_str())
        .entries([entry.address("peer")]);
    let companion = Companion::start(settings, Logger::root(Discard, o!()))
        .await
        .expect("the companion starts");
    let forwarded_url = format!("http://{}/services/desk", entry.address("client"));
    wait_until_ready(&forwarded_url).await;
    println!(
        "requests: route, in flight, p50 us, p99 us, requests per second, entry's processor us per request"
    );
    for concurrency in CONCURRENCY_LEVELS {
        for (route, base_url) in [("direct", &direct_url), ("forwarded", &forwarded_url)] {
            let seconds_before = entry.processor_seconds();
            let started_at = Instant::now();
            let histogram = measure(base_url, concurrency).await;
            let requests_per_second = REQUESTS_PER_ROW as f64 / started_at.elapsed().as_secs_f64();
            let used_micros =
                1e6 * (entry.processor_seconds() - seconds_before) / REQUESTS_PER_ROW as f64;
            println!(
                "requests: {route}, {concurrency}, {}, {}, {requests_per_second:.0}, {used_micros:.0}",
                histogram.value_at_quantile(0.5),
                histogram.value_at_quantile(0.99),
            );
        }
    }
    companion.stop().await;
}

async fn wait_until_ready(base_url: &str) {
    let deadline = Instant::now() + START_TIMEOUT;
    while !is_ready(base_url).await {
        assert!(
            Instant::now() < deadline,
            "the entry does not forward requests in time"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    // A new upstream gets its full share after 10 s of slow start.
    tokio::time::sleep(Duration::from_secs(11)).await;
}

async fn is_ready(base_url: &str) -> bool {
    let response = reqwest::get(format!("{base_url}/lookup/0")).await;
    response.is_ok_and(|response| response.status().is_success())
}

async fn measure(base_url: &str, concurrency: usize) -> Histogram<u64> {
    let client = reqwest::Client::new();
    let results = stream::iter(0..REQUESTS_PER_ROW)
        .map(|number| {
            let request = client.get(format!("{base_url}/lookup/{number}"));
            async move {
                let started_at = Instant::now();
                let response = request.send().await.expect("the request gets a response");
                let status = response.status();
                let body = response.text().await.expect("the response is complete");
                assert!(status.is_success(), "{status}: {body}");
                started_at.elapsed()
            }
        })
        .buffer_unordered(concurrency);
    let mut histogram = Histogram::new(3).expect("three significant digits are a valid precision");
    results
        .for_each(|latency| {
            let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            histogram
                .record(micros)
                .expect("the histogram resizes to fit any value");
            std::future::ready(())
        })
        .await;
    histogram
}
