//! The demo's requests.

use std::sync::Arc;

use futures_util::{StreamExt, stream};
use reqwest::Method;
use tokio::time::Instant;
use toucanquay_model::{Error, error::Execution};

use super::tally::{Row, Tally};
use crate::api::Api;

/// Requests in flight at once.
const CONCURRENCY: usize = 12;

/// One request of the demo.
#[derive(Debug, Clone, Copy)]
enum Work {
    Lookup(u32),
    Report(u32),
}

/// Sends lookups and reports through all entries by turns.
pub async fn run(clients: Vec<Api>, tally: Arc<Tally>, lookups: u32, reports: u32) {
    let work = (0..lookups)
        .map(Work::Lookup)
        .chain((0..reports).map(Work::Report));
    stream::iter(work)
        .for_each_concurrent(CONCURRENCY, |work| send(&clients, &tally, work))
        .await;
}

async fn send(clients: &[Api], tally: &Tally, work: Work) {
    match work {
        Work::Lookup(number) => look_up(clients, tally, number).await,
        Work::Report(number) => file(clients, tally, number).await,
    }
}

/// Returns the body of a report.
pub fn report(number: u32) -> String {
    format!("broken step on stile {number}")
}

async fn look_up(clients: &[Api], tally: &Tally, number: u32) {
    let api = &clients[number as usize % clients.len()];
    let path = format!("/services/stile-desk/lookup/{number}");
    let started_at = Instant::now();
    match text(api, api.call(Method::GET, &path)).await {
        Ok(body) => {
            tally.lookups.answer(started_at.elapsed());
            if !body.contains(&format!("/lookup/{number}")) {
                tally.mismatch();
            }
        }
        Err(error) => count(&tally.lookups, &error),
    }
}

/// Files a report, and repeats it through the other entry with the same key.
async fn file(clients: &[Api], tally: &Tally, number: u32) {
    for (turn, row) in [&tally.reports, &tally.repeats].into_iter().enumerate() {
        let api = &clients[(number as usize + turn) % clients.len()];
        let call = api
            .call(Method::POST, "/services/stile-desk/execute")
            .header("Idempotency-Key", format!("report-{number}"))
            .body(report(number));
        let started_at = Instant::now();
        match text(api, call).await {
            Ok(_) => {
                row.answer(started_at.elapsed());
                tally.answer_report(number);
            }
            Err(error) => count(row, &error),
        }
    }
}

async fn text(api: &Api, call: reqwest::RequestBuilder) -> Result<String, Error> {
    let response = api.send(call).await?;
    response
        .text()
        .await
        .map_err(|cause| Error::new(toucanquay_model::ErrorKind::TruncatedAnswer).context(cause))
}

fn count(row: &Row, error: &Error) {
    match error.kind().response().execution {
        Execution::NotRun => row.refuse(),
        Execution::Unknown | Execution::Ran => row.lose(),
    }
}
