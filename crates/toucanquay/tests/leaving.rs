//! Teams that leave and return, with the real programs.

mod support;

use std::time::Duration;

use reqwest::Method;
use serde_json::{Value, json};
use support::{
    cluster::{Cluster, GUEST_SECTION},
    eventually, send_json,
};
use tokio::time::Instant;

/// Guards against a leaving team whose upstream gets new requests, or whose worker's tasks are lost
/// or run twice (invariants 3 and 7).
#[tokio::test]
async fn leaving_team_is_drained() {
    let cluster = Cluster::start_with_guest(2, 1).await;
    cluster.submit(0, "plans", 8, 2_000).await;
    eventually("the guest worker has tasks", || async {
        (cluster.workers[1].runtime.running_count() > 0).then_some(())
    })
    .await;
    let revision = cluster
        .store
        .get("config/section/guest")
        .expect("the section exists")
        .revision;
    let text = "state = \"leaving\"\n[services.kiosk]\n";
    let edit = json!({ "text": text, "expected": revision, "author": "ann" });

    let edited_at = Instant::now();
    let request = cluster
        .operator_request(0, Method::PUT, "/document/guest")
        .json(&edit);
    let (status, accepted_edit) = send_json(request).await;
    eventually("both entries refuse requests for the kiosk", || async {
        for entry in 0..2 {
            let request = cluster.client_request(entry, Method::GET, "/services/kiosk/lookup/1");
            if send_json(request).await.1["kind"] != "leaving" {
                return None;
            }
        }
        Some(())
    })
    .await;
    let refused_after = edited_at.elapsed();
    eventually("the upstream is drained", || async {
        let upstreams = cluster.upstreams(1).await?;
        let guest = upstreams
            .as_array()?
            .iter()
            .find(|upstream| upstream["team"] == "guest")?;
        (guest["state"] == "drained").then_some(())
    })
    .await;
    let drained_after = edited_at.elapsed();
    let starts = cluster.workers[1].runtime.run_intervals().len();
    let job_status = cluster.wait_for_job(0, "plans").await;

    println!(
        "new work refused after {} ms, drained after {} ms",
        refused_after.as_millis(),
        drained_after.as_millis()
    );
    assert_eq!(status, 200, "{accepted_edit}");
    assert!(refused_after < Duration::from_secs(5), "{refused_after:?}");
    assert_eq!(
        cluster.workers[1].runtime.run_intervals().len(),
        starts,
        "the drained worker got new tasks"
    );
    assert_eq!(job_status.finished, 8);
    assert!(job_status.evictions > 0);
    cluster.assert_task_invariants();
}

/// Guards against a team that has returned from the leaving state and whose worker still gets no
/// tasks.
#[tokio::test]
async fn returned_team_gets_tasks_again() {
    let cluster = Cluster::start_with_guest(1, 1).await;
    let section = |text: &str| {
        cluster.store.write("config/section/guest", text);
    };
    let guest_state = |wanted: &'static str| {
        let cluster = &cluster;
        eventually(
            "the guest upstream reaches the expected state",
            move || async move {
                let upstreams = cluster.upstreams(0).await?;
                let is_guest = |upstream: &&Value| upstream["team"] == "guest";
                let guest = upstreams.as_array()?.iter().find(is_guest)?;
                (guest["state"] == wanted).then_some(())
            },
        )
    };
    section("state = \"leaving\"\n[services.kiosk]\n");
    guest_state("drained").await;

    section(GUEST_SECTION);
    guest_state("available").await;
    // A single worker needs at least 4.5 s for these tasks, far longer than an exchange is held
    // open, so the returned worker gets some of them.
    cluster.submit(0, "plans", 60, 300).await;
    cluster.wait_for_job(0, "plans").await;

    assert!(!cluster.workers[1].runtime.run_intervals().is_empty());
    cluster.assert_task_invariants();
}
