//! Repeats of requests with an idempotency key through another entry.

#[expect(dead_code, reason = "each test program uses a part of the fixtures")]
mod support;

use std::sync::Arc;

use rstest::rstest;
use support::{Behavior, Fields, start_cluster, wait_until};
use tokio::sync::Notify;
use toucanquay_model::{ErrorKind, request::Verdict};
use toucanquay_standin::store::Call;

const KEYED: &Fields = &[("idempotency-key", "k")];

/// Guards against a key that stays blocked after its first request did not run.
#[rstest]
#[case::refused_at_every_attempt(Behavior::Refuse(ErrorKind::Overloaded), 4)]
#[case::refused_for_good(Behavior::BreakConnections(Verdict::NotRun), 1)]
#[tokio::test]
async fn repeat_runs_after_the_first_did_not_run(#[case] behavior: Behavior, #[case] count: usize) {
    let cluster = start_cluster(2, 1).await;
    for _ in 0..count {
        cluster.script.queue_behavior(behavior.clone());
    }
    let first = cluster.send(0, "POST", "/a", KEYED).await;
    let repeat = cluster.send(1, "POST", "/a", KEYED).await;
    assert_eq!(first.refusal().2, "not_run");
    assert_eq!(repeat.text(), "POST /a run 1");
}

/// Guards against a second run while the first request with the same key is running.
#[tokio::test]
async fn repeat_is_refused_while_the_first_runs() {
    let cluster = Arc::new(start_cluster(2, 2).await);
    let release = Arc::new(Notify::new());
    cluster
        .script
        .queue_behavior(Behavior::Hold(release.clone()));
    let sending = cluster.clone();
    let first = tokio::spawn(async move { sending.send(0, "POST", "/a", KEYED).await });
    wait_until(|| cluster.script.runs() == 1).await;
    let repeat = cluster.send(1, "POST", "/a", KEYED).await;
    release.notify_one();
    let expected = (409, "key_in_use".to_owned(), "unknown".to_owned());
    assert_eq!(repeat.refusal(), expected);
    assert_eq!(first.await.unwrap().text(), "POST /a run 1");
    assert_eq!(cluster.script.runs(), 1);
}

/// Guards against a second run after the first request with the same key has finished.
#[tokio::test]
async fn repeat_gets_the_kept_response() {
    let cluster = start_cluster(2, 2).await;
    let first = cluster.send(0, "POST", "/a", KEYED).await;
    let repeat = cluster.send(1, "POST", "/a", KEYED).await;
    assert_eq!(first.text(), "POST /a run 1");
    assert_eq!(repeat.text(), "POST /a run 1");
    assert_eq!(cluster.script.runs(), 1);
}

/// Guards against another request that reuses a key and gets the response of the first one.
#[tokio::test]
async fn another_request_with_the_key_is_refused() {
    let cluster = start_cluster(2, 1).await;
    cluster.send(0, "POST", "/a", KEYED).await.text();
    let other = cluster.send(1, "POST", "/b", KEYED).await;
    let expected = (409, "key_conflict".to_owned(), "not_run".to_owned());
    assert_eq!(other.refusal(), expected);
}

/// Guards against an entry that mistakes its own claim for that of another request, or runs the
/// request twice, when the store's response to the write of the claim is lost.
#[tokio::test]
async fn lost_answer_to_the_write_of_the_claim_runs_once() {
    let cluster = start_cluster(2, 2).await;
    wait_until(|| cluster.store.range("entry/").len() == 2).await;
    // All responses are lost, so that no other write can consume the fault before the claim's.
    cluster.store.lose_responses(Call::Put, u32::MAX);
    let first = cluster.send(0, "POST", "/a", KEYED).await;
    let repeat = cluster.send(1, "POST", "/a", KEYED).await;
    assert_eq!(first.text(), "POST /a run 1");
    assert_eq!(repeat.text(), "POST /a run 1");
    assert_eq!(cluster.script.runs(), 1);
}

/// Guards against a keyed request that fails although the companion confirmed that it did not run,
/// and against a claim that still names that companion after the retry on another.
#[tokio::test]
async fn keyed_request_that_did_not_run_moves_with_its_claim() {
    let cluster = start_cluster(2, 2).await;
    cluster
        .script
        .queue_behavior(Behavior::BreakConnections(Verdict::NotRun));
    let first = cluster.send(0, "POST", "/a", KEYED).await;
    let repeat = cluster.send(1, "POST", "/a", KEYED).await;
    assert_eq!(first.text(), "POST /a run 1");
    assert_eq!(repeat.text(), "POST /a run 1");
}
