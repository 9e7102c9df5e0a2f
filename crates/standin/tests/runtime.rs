//! Tests of the stand-in for the task runtime over HTTP.

use std::time::Duration;

use reqwest::{Client, Method, StatusCode};
use serde_json::{Value, json};
use toucanquay_model::task;
use toucanquay_standin::{
    Runtime,
    runtime::{State, find_overlaps},
};

async fn call(runtime: &Runtime, method: Method, path: &str, body: Value) -> (StatusCode, Value) {
    let url = format!("http://{}/v1/{path}", runtime.address());
    let request = Client::new().request(method, url).json(&body);
    let response = request.send().await.unwrap();
    let status = response.status();
    (status, response.json().await.unwrap_or_default())
}

fn start_request(number: u32, payload: &str, checkpoint: Option<&str>, lease_ms: u64) -> Value {
    json!({
        "epoch": 1, "number": number, "kind": "plan", "payload": payload,
        "checkpoint": checkpoint, "processors_milli": 500, "memory_mb": 100,
        "accelerators": 0, "lease_ms": lease_ms,
    })
}

fn id() -> task::Id {
    task::Id::new("job".into(), 0)
}

async fn start(runtime: &Runtime, request: Value) -> StatusCode {
    call(runtime, Method::PUT, "tasks/job/0", request).await.0
}

async fn sleep_ms(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Guards against a resumed task that repeats the work done before its checkpoint.
#[tokio::test]
async fn checkpoint_keeps_the_work_done() {
    let runtime = Runtime::start().await.unwrap();
    start(&runtime, start_request(1, r#"{"run_ms":300}"#, None, 5_000)).await;
    sleep_ms(200).await;
    let path = "tasks/job/0?epoch=1&number=1&with_checkpoint=true";

    let stopped = call(&runtime, Method::DELETE, path, Value::Null).await.1;
    let checkpoint = stopped["checkpoint"].as_str().unwrap();
    let resumed = start_request(2, r#"{"run_ms":300}"#, Some(checkpoint), 5_000);
    start(&runtime, resumed).await;
    sleep_ms(200).await;

    assert!(checkpoint.parse::<u64>().unwrap() >= 190);
    assert_eq!(runtime.state(&id()), Some(State::Finished));
    assert!(find_overlaps(&runtime.run_intervals()).is_empty());
}

/// Guards against a task that keeps running after its lease has expired, when another worker may
/// run it again.
#[tokio::test]
async fn task_lapses_at_its_lease_deadline() {
    let runtime = Runtime::start().await.unwrap();
    start(&runtime, start_request(1, r#"{"run_ms":60000}"#, None, 100)).await;
    let renewal = json!({ "epoch": 1, "number": 1, "lease_ms": 200 });
    call(&runtime, Method::POST, "tasks/job/0/renew", renewal).await;

    sleep_ms(140).await;
    let renewed = runtime.state(&id());
    sleep_ms(150).await;

    assert_eq!(renewed, Some(State::Running));
    assert_eq!(runtime.state(&id()), Some(State::Lapsed));
    let interval = &runtime.run_intervals()[0];
    assert!(interval.ended_at.unwrap() - interval.started_at < Duration::from_millis(260));
}

/// Guards against a task that continues after a pause in which its lease expired.
#[tokio::test]
async fn pause_beyond_the_lease_ends_the_task() {
    let runtime = Runtime::start().await.unwrap();
    start(&runtime, start_request(1, r#"{"run_ms":60000}"#, None, 100)).await;

    runtime.set_paused(true);
    sleep_ms(150).await;
    runtime.set_paused(false);

    assert_eq!(runtime.state(&id()), Some(State::Lapsed));
    assert_eq!(runtime.run_intervals().len(), 1);
}

/// Guards against a delayed duplicate of a start that runs an ended attempt again.
#[tokio::test]
async fn ended_attempt_does_not_start_again() {
    let runtime = Runtime::start().await.unwrap();
    let failing = start_request(1, r#"{"fail":"exit code 1"}"#, None, 5_000);
    let first = start(&runtime, failing.clone()).await;
    sleep_ms(20).await;

    let again = start(&runtime, failing).await;
    let list = call(&runtime, Method::GET, "tasks", Value::Null).await.1;

    assert_eq!((first, again), (StatusCode::OK, StatusCode::CONFLICT));
    assert_eq!(list["tasks"][0]["state"], "failed");
    assert_eq!(list["tasks"][0]["reason"], "exit code 1");
    assert_eq!(runtime.peak_resources().processors_milli, 500);
}

/// Guards against two errors in the detection of overlapping runs: reporting one between a task on
/// a failed host and its successor elsewhere, and missing one between two live runtimes.
#[tokio::test]
async fn overlap_is_found_only_where_two_runtimes_ran_at_once() {
    let endless = start_request(1, r#"{"run_ms":60000}"#, None, 60_000);
    let killed = Runtime::start().await.unwrap();
    let first = Runtime::start().await.unwrap();
    let second = Runtime::start().await.unwrap();

    start(&killed, endless.clone()).await;
    let mut not_overlapping = killed.kill();
    start(&first, endless.clone()).await;
    start(&second, endless).await;
    not_overlapping.extend(first.run_intervals());
    let mut overlapping = first.run_intervals();
    overlapping.extend(second.run_intervals());

    assert_eq!(find_overlaps(&not_overlapping).len(), 0);
    assert_eq!(find_overlaps(&overlapping).len(), 1);
}

/// Guards against usage that is served without the configured lag, so that tests of the lag would
/// pass without testing it.
#[tokio::test]
async fn usage_lags() {
    let runtime = Runtime::start().await.unwrap();
    runtime.set_usage_lag(Duration::from_millis(300));
    start(
        &runtime,
        start_request(1, r#"{"run_ms":60000}"#, None, 60_000),
    )
    .await;

    sleep_ms(150).await;
    let early = call(&runtime, Method::GET, "usage", Value::Null).await.1;
    sleep_ms(400).await;
    let later = call(&runtime, Method::GET, "usage", Value::Null).await.1;

    assert_eq!(early["tasks"], json!([]));
    assert_eq!(later["tasks"][0]["processors_milli"], 500);
    assert!(later["age_ms"].as_u64().unwrap() >= 300);
}
