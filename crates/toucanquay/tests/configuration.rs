//! Configuration of entries in an outage and after edits, with the real programs.

mod support;

use std::time::Duration;

use reqwest::Method;
use serde_json::json;
use support::{
    cluster::{Cluster, SECTION},
    eventually, send_json,
};
use tokio::time::Instant;

/// Guards against an entry without configuration that reports a service as unknown although it
/// can't look the service up.
#[tokio::test]
async fn entry_without_configuration_reports_it() {
    let mut cluster = Cluster::start(1, 1).await;
    cluster.store.set_down(true);
    cluster.add_entry(1, &[]).await;

    let (ready, probe) = send_json(cluster.client_request(1, Method::GET, "/ready")).await;
    let (_, lookup) =
        send_json(cluster.client_request(1, Method::GET, "/services/desk/lookup/1")).await;
    let (_, jobs) = send_json(cluster.client_request(1, Method::GET, "/jobs")).await;

    assert_eq!((ready, &probe["kind"]), (503, &json!("shutting_down")));
    assert_eq!(lookup["kind"], "store_unavailable", "{lookup}");
    assert_eq!(jobs["kind"], "no_owner", "{jobs}");
}

/// Guards against an entry that starts during a store outage without peers and stays without
/// configuration although companions have it (invariant 9).
#[tokio::test]
async fn entry_gets_its_configuration_from_a_companion() {
    let mut cluster = Cluster::start(1, 1).await;
    let mut former = cluster.entries.remove(0);
    let peer = former.peer.clone();
    cluster.store.set_down(true);
    former.process.signal("KILL");
    former.process.wait().await;

    cluster
        .add_entry(0, &[&format!("--peer-listen={peer}")])
        .await;
    eventually("the new entry serves lookups", || async {
        let request = cluster.client_request(0, Method::GET, "/services/desk/lookup/1");
        (request.send().await.ok()?.status().as_u16() == 200).then_some(())
    })
    .await;
}

/// Guards against a concurrent edit that overwrites another, and against an accepted edit that is
/// missing at an entry started during a store outage (invariant 9).
#[tokio::test]
async fn accepted_edit_survives_a_race_a_restart_and_an_outage() {
    let mut cluster = Cluster::start(2, 1).await;
    let revision = cluster
        .store
        .get("config/section/team")
        .expect("the section exists")
        .revision;
    let edit = |cluster: &Cluster, entry: usize, deadline_ms: u64, author: &str| {
        let text = SECTION.replace("10000", &deadline_ms.to_string());
        let body = json!({ "text": text, "expected": revision, "author": author });
        send_json(
            cluster
                .operator_request(entry, Method::PUT, "/document/team")
                .json(&body),
        )
    };

    let ((first, one), (second, two)) = tokio::join!(
        edit(&cluster, 0, 7_001, "ann"),
        edit(&cluster, 1, 7_002, "bob")
    );
    let (winner, loser) = if first == 200 {
        (&one, &two)
    } else {
        (&two, &one)
    };
    let edited_at = Instant::now();
    let path = format!("/document-in-force?revision={}", winner["revision"]);
    let (_, in_force) = send_json(cluster.operator_request(0, Method::GET, &path)).await;
    let in_force_after = edited_at.elapsed();
    cluster.store.set_down(true);
    let peer = format!("--peers={}", cluster.entries[0].peer);
    cluster.add_entry(2, &[&peer]).await;
    eventually("the new entry has the edit", || async {
        let request = cluster.operator_request(0, Method::GET, &path);
        let (_, state) = send_json(request).await;
        let (status, _) = send_json(cluster.client_request(2, Method::GET, "/ready")).await;
        (status == 200 && state["is_in_force"] == true).then_some(())
    })
    .await;

    println!(
        "in force on 2 entries and 1 companion after {} ms",
        in_force_after.as_millis()
    );
    assert_eq!(
        [first, second]
            .iter()
            .filter(|&&status| status == 200)
            .count(),
        1
    );
    assert_eq!(loser["kind"], "revision_conflict", "{loser}");
    assert!(
        loser["message"].to_string().contains("last changed by"),
        "{loser}"
    );
    assert_eq!(in_force["is_in_force"], true, "{in_force}");
    assert!(in_force_after < Duration::from_secs(14));
}
