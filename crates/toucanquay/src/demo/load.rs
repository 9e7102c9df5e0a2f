//! Client load of the demo.

use std::sync::Arc;

use futures_util::{StreamExt, stream};
use reqwest::Method;
use tokio::time::Instant;
use toucanquay_model::{Error, error::Execution};

use super::load_stats::{LoadStats, RequestStats};
use crate::api::EntryClient;

/// Maximum number of concurrent requests.
const CONCURRENCY: usize = 12;

/// Request of the demo, with its number.
#[derive(Debug, Clone, Copy)]
enum Request {
    Lookup(u32),
    Report(u32),
}

/// Sends lookups and reports, distributed round-robin over all entries.
pub async fn run(
    clients: Vec<EntryClient>,
    load_stats: Arc<LoadStats>,
    lookups: u32,
    reports: u32,
) {
    let requests = (0..lookups)
        .map(Request::Lookup)
        .chain((0..reports).map(Request::Report));
    stream::iter(requests)
        .for_each_concurrent(CONCURRENCY, |request| send(&clients, &load_stats, request))
        .await;
}

async fn send(clients: &[EntryClient], load_stats: &LoadStats, request: Request) {
    match request {
        Request::Lookup(number) => send_lookup(clients, load_stats, number).await,
        Request::Report(number) => send_report_twice(clients, load_stats, number).await,
    }
}

/// Returns the body of report `number`.
pub fn report_body(number: u32) -> String {
    format!("broken step on stile {number}")
}

async fn send_lookup(clients: &[EntryClient], load_stats: &LoadStats, number: u32) {
    let client = &clients[number as usize % clients.len()];
    let path = format!("/services/stile-desk/lookup/{number}");
    let started_at = Instant::now();
    match fetch_text(client, client.request(Method::GET, &path)).await {
        Ok(body) => {
            load_stats.lookups.record_response(started_at.elapsed());
            if !body.contains(&format!("/lookup/{number}")) {
                load_stats.record_mismatch();
            }
        }
        Err(error) => record_error(&load_stats.lookups, &error),
    }
}

/// Sends a report, then sends it again through the next entry with the same idempotency key.
async fn send_report_twice(clients: &[EntryClient], load_stats: &LoadStats, number: u32) {
    for (attempt, stats) in [&load_stats.reports, &load_stats.repeated_reports]
        .into_iter()
        .enumerate()
    {
        let client = &clients[(number as usize + attempt) % clients.len()];
        let request = client
            .request(Method::POST, "/services/stile-desk/execute")
            .header("Idempotency-Key", format!("report-{number}"))
            .body(report_body(number));
        let started_at = Instant::now();
        match fetch_text(client, request).await {
            Ok(_) => {
                stats.record_response(started_at.elapsed());
                load_stats.record_report_response(number);
            }
            Err(error) => record_error(stats, &error),
        }
    }
}

async fn fetch_text(
    client: &EntryClient,
    request: reqwest::RequestBuilder,
) -> Result<String, Error> {
    let response = client.send(request).await?;
    response
        .text()
        .await
        .map_err(|cause| Error::new(toucanquay_model::ErrorKind::TruncatedAnswer).context(cause))
}

fn record_error(stats: &RequestStats, error: &Error) {
    match error.kind().response().execution {
        Execution::NotRun => stats.record_refusal(),
        Execution::Unknown | Execution::Ran => stats.record_unknown(),
    }
}
