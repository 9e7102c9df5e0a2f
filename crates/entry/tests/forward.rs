//! Forwarding of requests to companions that misbehave.

mod support;

use std::sync::Arc;

use rstest::rstest;
use support::{Behavior, SERVICE, TEAM, start_cluster, wait_until};
use tokio::sync::Notify;
use toucanquay_model::{ErrorKind, request::Verdict};

/// Guards against forwarding a response that belongs to another request.
#[tokio::test]
async fn head_of_another_request_is_never_passed_on() {
    let cluster = start_cluster(1, 1).await;
    cluster.script.queue_behavior(Behavior::MismatchedHead);
    let reply = cluster.send(0, "POST", "/a", &[]).await;
    let expected = (502, "protocol".to_owned(), "unknown".to_owned());
    assert_eq!(reply.refusal(), expected);
    assert_eq!(cluster.script.runs(), 1);
}

/// Guards against failing a GET after a response with the id of another request, although another
/// companion can serve it.
#[tokio::test]
async fn get_goes_to_another_companion_after_a_head_of_another_request() {
    let cluster = start_cluster(1, 2).await;
    cluster.script.queue_behavior(Behavior::MismatchedHead);
    let reply = cluster.send(0, "GET", "/a", &[]).await;
    assert_eq!(reply.text(), "GET /a run 2");
}

/// Guards against a client that treats a response as complete although it was truncated or its end
/// frame belongs to another request.
#[rstest]
#[case::end_of_another_request(Behavior::MismatchedEnd)]
#[case::length_differs(Behavior::WrongLength)]
#[case::no_end(Behavior::MissingEnd)]
#[tokio::test]
async fn response_without_its_end_is_not_whole(#[case] behavior: Behavior) {
    let cluster = start_cluster(1, 1).await;
    cluster.script.queue_behavior(behavior);
    let reply = cluster.send(0, "GET", "/a", &[]).await;
    assert_eq!((reply.status, reply.body), (200, None));
    let reply = cluster.send(0, "GET", "/b", &[]).await;
    assert_eq!(reply.text(), "GET /b run 2");
}

/// Guards against a response that arrives after its deadline and is returned to the next request on
/// the same connection.
#[tokio::test]
async fn late_response_does_not_reach_the_next_request() {
    let cluster = start_cluster(1, 1).await;
    let release = Arc::new(Notify::new());
    cluster
        .script
        .queue_behavior(Behavior::Hold(release.clone()));
    let fields = [("toucanquay-deadline-ms", "1000")];
    let late = cluster.send(0, "GET", "/late", &fields).await;
    release.notify_one();
    let next = cluster.send(0, "GET", "/next", &[]).await;
    let expected = (504, "deadline_while_running".to_owned());
    let (status, kind, _) = late.refusal();
    assert_eq!((status, kind), expected);
    assert_eq!(next.text(), "GET /next run 2");
    assert_eq!(cluster.companions[0].connections(), 1);
}

/// Guards against failing a GET because one connection broke, although another companion can serve
/// it.
#[tokio::test]
async fn get_goes_to_another_companion_after_a_broken_connection() {
    let cluster = start_cluster(1, 2).await;
    cluster
        .script
        .queue_behavior(Behavior::BreakConnections(Verdict::Running));
    let reply = cluster.send(0, "GET", "/a", &[]).await;
    assert_eq!(reply.text(), "GET /a run 2");
    let received = cluster.script.received();
    assert_eq!(received.len(), 2);
    assert_ne!(received[0].worker, received[1].worker);
}

/// Guards against reporting a GET as not run because its last attempt was refused, although an
/// earlier attempt may have run.
#[tokio::test]
async fn get_whose_first_attempt_may_have_run_is_not_reported_as_not_run() {
    let cluster = start_cluster(1, 1).await;
    cluster
        .script
        .queue_behavior(Behavior::BreakConnections(Verdict::Running));
    for _ in 0..3 {
        cluster
            .script
            .queue_behavior(Behavior::Refuse(ErrorKind::Overloaded));
    }
    let reply = cluster.send(0, "GET", "/a", &[]).await;
    let expected = (502, "outcome_unknown".to_owned(), "unknown".to_owned());
    assert_eq!(reply.refusal(), expected);
}

/// Guards against retrying a GET with its previous id, which the companion takes for the request
/// that it has already started.
#[tokio::test]
async fn get_is_sent_again_to_the_only_companion() {
    let cluster = start_cluster(1, 1).await;
    cluster
        .script
        .queue_behavior(Behavior::BreakConnections(Verdict::Running));
    let reply = cluster.send(0, "GET", "/a", &[]).await;
    assert_eq!(reply.text(), "GET /a run 2");
}

/// Guards against failing a POST although the companion confirmed that it did not run.
#[tokio::test]
async fn post_that_did_not_run_moves_and_runs_once() {
    let cluster = start_cluster(1, 2).await;
    cluster
        .script
        .queue_behavior(Behavior::BreakConnections(Verdict::NotRun));
    let reply = cluster.send(0, "POST", "/a", &[]).await;
    assert_eq!(reply.text(), "POST /a run 1");
    assert_eq!(cluster.script.received().len(), 2);
}

/// Guards against retrying a POST, or reporting it as not run, when it may have run.
#[rstest]
#[case::running(Verdict::Running)]
#[case::finished(Verdict::Finished)]
#[case::unknown(Verdict::Unknown)]
#[tokio::test]
async fn post_that_may_have_run_is_not_sent_again(
    #[case] verdict: Verdict,
    #[values(&[], &[("idempotency-key", "k")])] fields: &support::Fields,
) {
    let cluster = start_cluster(1, 2).await;
    cluster
        .script
        .queue_behavior(Behavior::BreakConnections(verdict));
    let reply = cluster.send(0, "POST", "/a", fields).await;
    let expected = (502, "outcome_unknown".to_owned(), "unknown".to_owned());
    assert_eq!(reply.refusal(), expected);
    assert_eq!(cluster.script.received().len(), 1);
}

/// Guards against rejecting a request because one companion is overloaded, although another is not.
#[tokio::test]
async fn refused_request_goes_to_another_companion() {
    let cluster = start_cluster(1, 2).await;
    // An entry that retried on a random companion would pass one round half of the time.
    for _ in 0..8 {
        cluster
            .script
            .queue_behavior(Behavior::Refuse(ErrorKind::Overloaded));
        cluster.send(0, "POST", "/a", &[]).await.text();
    }
    let received = cluster.script.received();
    assert_eq!(received.len(), 16);
    assert!(
        received
            .chunks(2)
            .all(|pair| pair[0].worker != pair[1].worker)
    );
}

/// Guards against new requests to a companion whose heartbeat says that it is leaving.
#[tokio::test]
async fn leaving_companion_gets_no_new_request() {
    let cluster = start_cluster(1, 1).await;
    cluster.send(0, "GET", "/a", &[]).await.text();
    cluster.companions[0].leave().await;
    let fields = [("toucanquay-deadline-ms", "500")];
    let reply = cluster.send(0, "GET", "/a", &fields).await;
    assert_eq!(reply.refusal().2, "not_run");
    assert_eq!(cluster.script.received().len(), 1);
}

/// Guards against rejecting requests because one of two companions is leaving.
#[tokio::test]
async fn requests_go_on_to_the_companion_that_stays() {
    let cluster = start_cluster(1, 2).await;
    cluster.companions[0].leave().await;
    for _ in 0..20 {
        cluster.send(0, "GET", "/a", &[]).await.text();
    }
    assert!(
        cluster
            .script
            .received()
            .iter()
            .all(|received| received.worker == "w1")
    );
}

/// Guards against new requests to the services of a team whose section says that it is leaving.
#[tokio::test]
async fn leaving_section_withdraws_its_services() {
    let cluster = start_cluster(1, 1).await;
    cluster.send(0, "GET", "/a", &[]).await.text();
    let section = format!("state = \"leaving\"\n[services.{SERVICE}]\n");
    cluster
        .store
        .write(&format!("config/section/{TEAM}"), &section);
    let wait = async {
        loop {
            let reply = cluster.send(0, "GET", "/a", &[]).await;
            if reply.status != 200 {
                break reply;
            }
        }
    };
    let reply = tokio::time::timeout(support::WAIT_TIMEOUT, wait)
        .await
        .unwrap();
    let expected = (503, "leaving".to_owned(), "not_run".to_owned());
    assert_eq!(reply.refusal(), expected);
    let received = cluster.script.received().len();
    cluster.send(0, "GET", "/a", &[]).await;
    assert_eq!(cluster.script.received().len(), received);
}

/// Guards against requests addressed to the previous incarnation of a companion, even after a late
/// heartbeat of that incarnation.
#[tokio::test]
async fn restarted_companion_gets_requests_for_its_new_run() {
    let cluster = start_cluster(1, 1).await;
    cluster.send(0, "GET", "/a", &[]).await.text();
    cluster.companions[0].restart().await;
    cluster.companions[0].send_heartbeat_as(1).await;
    cluster.send(0, "GET", "/b", &[]).await.text();
    let incarnations: Vec<_> = cluster
        .script
        .received()
        .iter()
        .map(|received| received.incarnation)
        .collect();
    assert_eq!(incarnations, [1, cluster.companions[0].incarnation()]);
}

/// Guards against trusting the verdict of a restarted companion on a request that its previous
/// incarnation may have run.
#[tokio::test]
async fn restart_makes_the_outcome_of_a_sent_post_unknown() {
    let cluster = Arc::new(start_cluster(1, 1).await);
    cluster
        .script
        .queue_behavior(Behavior::Hold(Arc::new(Notify::new())));
    let sending = cluster.clone();
    let post = tokio::spawn(async move { sending.send(0, "POST", "/a", &[]).await });
    wait_until(|| cluster.script.received().len() == 1).await;
    cluster.companions[0].restart().await;
    let reply = post.await.unwrap();
    let expected = (502, "outcome_unknown".to_owned(), "unknown".to_owned());
    assert_eq!(reply.refusal(), expected);
    assert_eq!(cluster.script.received().len(), 1);
}
