//! End-to-end tests of client and operator requests against the real programs.

mod support;

use reqwest::Method;
use serde_json::json;
use support::{
    cluster::{Cluster, SECTION},
    eventually,
    transcript::Transcript,
};

/// Guards against a lookup, a keyed request or a job that fails end to end, and against error
/// responses whose content changes.
#[tokio::test]
async fn session_of_a_client() {
    let cluster = Cluster::start(2, 3).await;
    let mut transcript = Transcript::default();

    let request = cluster.client_request(0, Method::GET, "/services/desk/lookup/7?near=ridge");
    transcript.send("lookup", request).await;
    let send_report = |entry: usize, body: &'static str| {
        cluster
            .client_request(entry, Method::POST, "/services/desk/execute")
            .header("Idempotency-Key", "report-1")
            .body(body)
    };
    transcript
        .send("report", send_report(0, "broken step"))
        .await;
    transcript
        .send(
            "the same report through the other entry",
            send_report(1, "broken step"),
        )
        .await;
    transcript
        .send("the key with another report", send_report(1, "lost sign"))
        .await;
    let runs = cluster.executions("broken step");
    transcript.push_line(&format!("the report ran {runs} time"));
    transcript
        .record("job", cluster.submit(0, "plans", 4, 100).await)
        .await;
    let status = cluster.wait_for_job(1, "plans").await;
    transcript.push_line(&format!(
        "{} of {} tasks finished",
        status.finished, status.tasks
    ));
    transcript
        .record(
            "the job with other content",
            cluster.submit(1, "plans", 5, 100).await,
        )
        .await;

    assert_eq!(cluster.executions("broken step"), 1);
    cluster.assert_task_invariants();
    insta::assert_snapshot!(transcript.text());
}

/// Guards against invalid input that is accepted, or refused without naming the invalid field.
#[tokio::test]
async fn session_with_bad_input() {
    let cluster = Cluster::start(1, 1).await;
    let mut transcript = Transcript::default();

    transcript
        .send(
            "unknown route",
            cluster.client_request(0, Method::GET, "/nowhere"),
        )
        .await;
    transcript
        .send(
            "unknown service",
            cluster.client_request(0, Method::GET, "/services/kiosk/lookup/1"),
        )
        .await;
    let request = cluster.client_request(0, Method::GET, "/services/desk/lookup/1");
    transcript
        .send("deadline", request.header("Toucanquay-Deadline-Ms", "soon"))
        .await;
    let request = cluster.client_request(0, Method::POST, "/services/desk/execute");
    transcript
        .send("oversized body", request.body("x".repeat(3_000)))
        .await;
    let request = cluster.client_request(0, Method::POST, "/services/desk/execute");
    transcript
        .send("key", request.header("Idempotency-Key", "a b").body("x"))
        .await;
    let request = cluster.client_request(0, Method::POST, "/jobs").body("{");
    transcript.send("malformed job", request).await;
    let request = cluster.client_request(0, Method::POST, "/jobs");
    let spec = json!({"id": "j", "team": "team", "kind": "plan", "tasks": 0, "demand": {}});
    transcript
        .send("job without tasks", request.json(&spec))
        .await;
    let spec = json!({"id": "j", "team": "other", "kind": "plan", "tasks": 1,
        "demand": {"memory_mb": 1}});
    transcript
        .send(
            "unknown team",
            cluster.client_request(0, Method::POST, "/jobs").json(&spec),
        )
        .await;
    transcript
        .send(
            "unknown job",
            cluster.client_request(0, Method::GET, "/jobs/none"),
        )
        .await;
    let edit = |text: &str, expected: u64| {
        let body = json!({ "text": text, "expected": expected, "author": "ann" });
        cluster
            .operator_request(0, Method::PUT, "/document/team")
            .json(&body)
    };
    transcript
        .send("section with a wrong field", edit("stat = 1", 1))
        .await;
    transcript
        .send("section against an old revision", edit(SECTION, 99))
        .await;
    transcript
        .send(
            "wrong method",
            cluster.operator_request(0, Method::DELETE, "/document/team"),
        )
        .await;
    transcript
        .send(
            "upstream's own error",
            cluster.client_request(0, Method::GET, "/services/desk/none"),
        )
        .await;

    insta::assert_snapshot!(transcript.text());
}

/// Guards against error responses with a wrong kind or a wrong `run` value when the cause is a
/// missing upstream, overload, a passed deadline or a store outage, not the input.
#[tokio::test]
async fn refusals_of_an_impaired_cluster() {
    let cluster = Cluster::start(1, 1).await;
    cluster
        .store
        .write("config/section/spare", "[services.spare]\n[batch.plan]\n");
    let kind_and_run = |request: reqwest::RequestBuilder| async {
        let response = request.send().await.expect("the entry responds");
        let body: serde_json::Value = response.json().await.unwrap_or_default();
        format!("{} {}", body["kind"], body["run"]).replace('"', "")
    };
    let slow = |deadline_ms: &'static str| {
        cluster
            .client_request(0, Method::GET, "/services/desk/slow?ms=2000")
            .header("Toucanquay-Deadline-Ms", deadline_ms)
    };
    eventually("the spare service is known", || async {
        let request = cluster.client_request(0, Method::GET, "/services/spare/lookup/1");
        (kind_and_run(request).await == "no_upstream not_run").then_some(())
    })
    .await;
    assert_eq!(
        kind_and_run(slow("200")).await,
        "deadline_while_running unknown"
    );

    let outcomes =
        futures_util::future::join_all((0..60).map(|_| kind_and_run(slow("2500")))).await;
    let is_shed = |kind: &&String| {
        matches!(
            kind.as_str(),
            "overloaded not_run" | "deadline_before_send not_run"
        )
    };
    assert!(outcomes.iter().filter(is_shed).count() > 40, "{outcomes:?}");

    cluster.store.set_down(true);
    let edit = json!({ "text": SECTION, "expected": 1, "author": "ann" });
    let request = cluster
        .operator_request(0, Method::PUT, "/document/team")
        .json(&edit);
    assert_eq!(kind_and_run(request).await, "store_unavailable not_run");
}

/// Guards against a truncated response that looks complete to the client.
#[tokio::test]
async fn cut_answer_is_an_error() {
    let cluster = Cluster::start(1, 1).await;

    let response = cluster
        .client_request(0, Method::GET, "/services/desk/cut")
        .send()
        .await;

    let body = match response {
        Ok(response) => response.bytes().await,
        Err(error) => Err(error),
    };
    assert!(body.is_err());
}

/// Guards against watches that occupy the slots of lookups. An upstream has 8 slots, and the test
/// opens 12 watches.
#[tokio::test]
async fn watches_leave_the_slots_to_lookups() {
    let cluster = Cluster::start(1, 1).await;
    let mut feeds = Vec::new();
    for _ in 0..12 {
        let request = cluster.client_request(0, Method::GET, "/services/desk/feed");
        let mut feed = request.send().await.expect("the feed starts");
        let line = feed.chunk().await.expect("the feed continues");
        assert!(feed.status().is_success() && line.is_some());
        feeds.push(feed);
    }

    let request = cluster.client_request(0, Method::GET, "/services/desk/lookup/1");
    let response = request.send().await.expect("the entry responds");

    assert_eq!(response.status().as_u16(), 200);
    assert!(
        feeds[0]
            .chunk()
            .await
            .expect("the feed continues")
            .is_some()
    );
}
