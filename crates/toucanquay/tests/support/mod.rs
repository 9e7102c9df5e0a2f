//! Fixtures: the real programs as child processes, and stand-ins in the test process.

#![expect(
    dead_code,
    reason = "each test file is a separate crate and uses only some of the fixtures"
)]

pub mod cluster;
pub mod process;
pub mod transcript;

use std::time::Duration;

use reqwest::{RequestBuilder, Response};
use serde_json::Value;
use tokio::time::Instant;

/// Maximum time to wait for an expected state. Only a failing test waits this long.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Polls until `poll` returns a value.
///
/// # Panics
///
/// If `poll` returns no value within [`WAIT_TIMEOUT`].
pub async fn eventually<T, F>(condition: &str, mut poll: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = poll().await {
            return value;
        }
        assert!(
            Instant::now() < deadline,
            "timed out waiting until {condition}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Sends a request and returns the status and the body of the response, as JSON.
pub async fn send_json(request: RequestBuilder) -> (u16, Value) {
    read_json(request.send().await.expect("the entry responds")).await
}

/// Returns the status and the body of a response, as JSON; null if it is none.
pub async fn read_json(response: Response) -> (u16, Value) {
    let status = response.status().as_u16();
    let body = response.text().await.unwrap_or_default();
    (status, serde_json::from_str(&body).unwrap_or(Value::Null))
}
