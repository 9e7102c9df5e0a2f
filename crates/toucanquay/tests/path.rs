//! The whole path through the real programs.

mod support;

use reqwest::Method;
use serde_json::json;
use support::{
    eventually,
    site::{SECTION, Site},
    transcript::Transcript,
};

/// Guards against a request, a report or a job that does not get through from end to end, and
/// against refusals that change their meaning.
#[tokio::test]
async fn session_of_a_client() {
    let site = Site::start(2, 3).await;
    let mut session = Transcript::default();

    let call = site.call(0, Method::GET, "/services/desk/lookup/7?near=ridge");
    session.send("lookup", call).await;
    let file = |entry: usize, body: &'static str| {
        site.call(entry, Method::POST, "/services/desk/execute")
            .header("Idempotency-Key", "report-1")
            .body(body)
    };
    session.send("report", file(0, "broken step")).await;
    session
        .send(
            "the same report through the other entry",
            file(1, "broken step"),
        )
        .await;
    session
        .send("the key with another report", file(1, "lost sign"))
        .await;
    let runs = site.executions("broken step");
    session.note(&format!("the report ran {runs} time"));
    session
        .record("job", site.submit(0, "plans", 4, 100).await)
        .await;
    let status = site.finished(1, "plans").await;
    session.note(&format!(
        "{} of {} tasks finished",
        status.finished, status.tasks
    ));
    session
        .record(
            "the job with other content",
            site.submit(1, "plans", 5, 100).await,
        )
        .await;

    assert_eq!(site.executions("broken step"), 1);
    site.assert_tasks_ran_once_at_a_time();
    insta::assert_snapshot!(session.text());
}

/// Guards against bad input that is accepted, or refused without naming what is wrong.
#[tokio::test]
async fn session_with_bad_input() {
    let site = Site::start(1, 1).await;
    let mut session = Transcript::default();

    session
        .send("unknown route", site.call(0, Method::GET, "/nowhere"))
        .await;
    session
        .send(
            "unknown service",
            site.call(0, Method::GET, "/services/kiosk/lookup/1"),
        )
        .await;
    let call = site.call(0, Method::GET, "/services/desk/lookup/1");
    session
        .send("deadline", call.header("Toucanquay-Deadline-Ms", "soon"))
        .await;
    let call = site.call(0, Method::POST, "/services/desk/execute");
    session
        .send("oversized body", call.body("x".repeat(3_000)))
        .await;
    let call = site.call(0, Method::POST, "/services/desk/execute");
    session
        .send("key", call.header("Idempotency-Key", "a b").body("x"))
        .await;
    let call = site.call(0, Method::POST, "/jobs").body("{");
    session.send("malformed job", call).await;
    let call = site.call(0, Method::POST, "/jobs");
    let spec = json!({"id": "j", "team": "team", "kind": "plan", "tasks": 0, "demand": {}});
    session.send("job without tasks", call.json(&spec)).await;
    let spec = json!({"id": "j", "team": "other", "kind": "plan", "tasks": 1,
        "demand": {"memory_mb": 1}});
    session
        .send(
            "unknown team",
            site.call(0, Method::POST, "/jobs").json(&spec),
        )
        .await;
    session
        .send("unknown job", site.call(0, Method::GET, "/jobs/none"))
        .await;
    let edit = |text: &str, expected: u64| {
        let body = json!({ "text": text, "expected": expected, "author": "ann" });
        site.operate(0, Method::PUT, "/document/team").json(&body)
    };
    session
        .send("section with a wrong field", edit("stat = 1", 1))
        .await;
    session
        .send("section against an old revision", edit(SECTION, 99))
        .await;
    session
        .send(
            "wrong method",
            site.operate(0, Method::DELETE, "/document/team"),
        )
        .await;
    session
        .send(
            "upstream's own error",
            site.call(0, Method::GET, "/services/desk/none"),
        )
        .await;

    insta::assert_snapshot!(session.text());
}

/// Guards against a refusal whose kind or whose word on "not run" is wrong when the site is in
/// trouble rather than the input.
#[tokio::test]
async fn refusals_of_a_site_in_trouble() {
    let site = Site::start(1, 1).await;
    site.store
        .write("config/section/spare", "[services.spare]\n[batch.plan]\n");
    let kind = |call: reqwest::RequestBuilder| async {
        let answer = call.send().await.expect("the entry answers");
        let body: serde_json::Value = answer.json().await.unwrap_or_default();
        format!("{} {}", body["kind"], body["run"]).replace('"', "")
    };
    let slow = |deadline_ms: &'static str| {
        site.call(0, Method::GET, "/services/desk/slow?ms=2000")
            .header("Toucanquay-Deadline-Ms", deadline_ms)
    };
    eventually("the spare service is known", || async {
        let call = site.call(0, Method::GET, "/services/spare/lookup/1");
        (kind(call).await == "no_upstream not_run").then_some(())
    })
    .await;
    assert_eq!(kind(slow("200")).await, "deadline_while_running unknown");

    let flood = futures_util::future::join_all((0..60).map(|_| kind(slow("2500")))).await;
    let is_shed = |kind: &&String| {
        matches!(
            kind.as_str(),
            "overloaded not_run" | "deadline_before_send not_run"
        )
    };
    assert!(flood.iter().filter(is_shed).count() > 40, "{flood:?}");

    site.store.set_down(true);
    let edit = json!({ "text": SECTION, "expected": 1, "author": "ann" });
    let call = site.operate(0, Method::PUT, "/document/team").json(&edit);
    assert_eq!(kind(call).await, "store_unavailable not_run");
}

/// Guards against an answer that breaks off and looks whole to the client.
#[tokio::test]
async fn cut_answer_is_an_error() {
    let site = Site::start(1, 1).await;

    let answer = site.call(0, Method::GET, "/services/desk/cut").send().await;

    let body = match answer {
        Ok(answer) => answer.bytes().await,
        Err(error) => Err(error),
    };
    assert!(body.is_err());
}

/// Guards against watches that take the slots of lookups: an upstream has eight.
#[tokio::test]
async fn watches_leave_the_slots_to_lookups() {
    let site = Site::start(1, 1).await;
    let mut feeds = Vec::new();
    for _ in 0..12 {
        let call = site.call(0, Method::GET, "/services/desk/feed");
        let mut feed = call.send().await.expect("the feed begins");
        let line = feed.chunk().await.expect("the feed goes on");
        assert!(feed.status().is_success() && line.is_some());
        feeds.push(feed);
    }

    let call = site.call(0, Method::GET, "/services/desk/lookup/1");
    let answer = call.send().await.expect("the entry answers");

    assert_eq!(answer.status().as_u16(), 200);
    assert!(feeds[0].chunk().await.expect("the feed goes on").is_some());
}
