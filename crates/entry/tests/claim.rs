//! Requests with an idempotency key that are repeated through another entry.

#[expect(dead_code, reason = "each test program uses a part of the fixtures")]
mod support;

use std::sync::Arc;

use rstest::rstest;
use support::{Act, Fields, site, until};
use tokio::sync::Notify;
use toucanquay_model::{ErrorKind, request::Verdict};
use toucanquay_standin::store::Call;

const KEYED: &Fields = &[("idempotency-key", "k")];

/// Guards against a key that stays blocked by a first request that did not run.
#[rstest]
#[case::refused_at_every_attempt(Act::Refuse(ErrorKind::Overloaded), 4)]
#[case::refused_for_good(Act::Cut(Verdict::NotRun), 1)]
#[tokio::test]
async fn repeat_runs_after_the_first_did_not_run(#[case] act: Act, #[case] count: usize) {
    let site = site(2, 1).await;
    for _ in 0..count {
        site.script.order(act.clone());
    }
    let first = site.send(0, "POST", "/a", KEYED).await;
    let repeat = site.send(1, "POST", "/a", KEYED).await;
    assert_eq!(first.refusal().2, "not_run");
    assert_eq!(repeat.text(), "POST /a run 1");
}

/// Guards against a second run while the first one with the same key runs.
#[tokio::test]
async fn repeat_is_refused_while_the_first_runs() {
    let site = Arc::new(site(2, 2).await);
    let permit = Arc::new(Notify::new());
    site.script.order(Act::Hold(permit.clone()));
    let sending = site.clone();
    let first = tokio::spawn(async move { sending.send(0, "POST", "/a", KEYED).await });
    until(|| site.script.runs() == 1).await;
    let repeat = site.send(1, "POST", "/a", KEYED).await;
    permit.notify_one();
    let expected = (409, "key_in_use".to_owned(), "unknown".to_owned());
    assert_eq!(repeat.refusal(), expected);
    assert_eq!(first.await.unwrap().text(), "POST /a run 1");
    assert_eq!(site.script.runs(), 1);
}

/// Guards against a second run after the first one with the same key finished.
#[tokio::test]
async fn repeat_gets_the_kept_response() {
    let site = site(2, 2).await;
    let first = site.send(0, "POST", "/a", KEYED).await;
    let repeat = site.send(1, "POST", "/a", KEYED).await;
    assert_eq!(first.text(), "POST /a run 1");
    assert_eq!(repeat.text(), "POST /a run 1");
    assert_eq!(site.script.runs(), 1);
}

/// Guards against a key that another request reuses and whose response it gets.
#[tokio::test]
async fn another_request_with_the_key_is_refused() {
    let site = site(2, 1).await;
    site.send(0, "POST", "/a", KEYED).await.text();
    let other = site.send(1, "POST", "/b", KEYED).await;
    let expected = (409, "key_conflict".to_owned(), "not_run".to_owned());
    assert_eq!(other.refusal(), expected);
}

/// Guards against an entry that takes its own claim for another request's, or runs the request
/// twice, when the store's answer to the claim's write is lost.
#[tokio::test]
async fn lost_answer_to_the_write_of_the_claim_runs_once() {
    let site = site(2, 2).await;
    until(|| site.store.range("entry/").len() == 2).await;
    // Each answer is lost, so that no other write can take the fault in place of the claim's.
    site.store.lose_responses(Call::Put, u32::MAX);
    let first = site.send(0, "POST", "/a", KEYED).await;
    let repeat = site.send(1, "POST", "/a", KEYED).await;
    assert_eq!(first.text(), "POST /a run 1");
    assert_eq!(repeat.text(), "POST /a run 1");
    assert_eq!(site.script.runs(), 1);
}

/// Guards against a keyed request that fails although the companion has confirmed that it did not
/// run, and against a claim that still names that companion.
#[tokio::test]
async fn keyed_request_that_did_not_run_moves_with_its_claim() {
    let site = site(2, 2).await;
    site.script.order(Act::Cut(Verdict::NotRun));
    let first = site.send(0, "POST", "/a", KEYED).await;
    let repeat = site.send(1, "POST", "/a", KEYED).await;
    assert_eq!(first.text(), "POST /a run 1");
    assert_eq!(repeat.text(), "POST /a run 1");
}
