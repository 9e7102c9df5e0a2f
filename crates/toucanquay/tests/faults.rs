//! Fault injection with the real programs: kills, pauses, restarts and store outages.

mod support;

use std::time::Duration;

use reqwest::Method;
use serde_json::{Value, json};
use support::{
    cluster::{Cluster, GUEST_SECTION, SECTION},
    eventually,
};
use tokio::time::Instant;
use toucanquay_model::job;

async fn send_json(request: reqwest::RequestBuilder) -> (u16, Value) {
    let response = request.send().await.expect("the entry responds");
    let status = response.status().as_u16();
    let body = response.text().await.unwrap_or_default();
    (status, serde_json::from_str(&body).unwrap_or(Value::Null))
}

/// Guards against a companion crash that makes the entry report "not run" for a request that was
/// sent, or execute it twice when the client repeats it with the same key (invariants 5 and 6).
#[tokio::test]
async fn killed_companion_leaves_the_outcome_unknown_and_runs_nothing_twice() {
    let mut cluster = Cluster::start(2, 1).await;
    let slow = |cluster: &Cluster, entry: usize| {
        cluster
            .client_request(entry, Method::POST, "/services/desk/slow?ms=3000")
            .header("Idempotency-Key", "order-1")
            .body("order")
    };
    let first = tokio::spawn(send_json(slow(&cluster, 0)));
    eventually("the order reaches the upstream", || async {
        (cluster.workers[0].upstream.requests() > 0).then_some(())
    })
    .await;

    cluster.workers[0].companion.signal("KILL");
    cluster.workers[0].companion.wait().await;
    let (_, response) = first.await.expect("the request task does not panic");
    cluster.workers[0].restart_companion();
    cluster.wait_until_ready().await;
    let (_, repeat) = send_json(slow(&cluster, 1)).await;

    assert_eq!(response["run"], "unknown", "{response}");
    assert_eq!(repeat["run"], "unknown", "{repeat}");
    assert_eq!(cluster.workers[0].upstream.requests(), 1);
}

/// Guards against a graceful stop of a companion that aborts a request in flight, and against new
/// requests that are still sent to that companion (invariants 7 and 8).
#[tokio::test]
async fn stopped_companion_completes_requests_in_flight() {
    let mut cluster = Cluster::start(1, 2).await;
    let slow = cluster.client_request(0, Method::GET, "/services/desk/slow?ms=1500");
    let first = tokio::spawn(send_json(slow));
    let busy = eventually("an upstream has the request", || async {
        cluster
            .workers
            .iter()
            .position(|worker| worker.upstream.in_flight() > 0)
    })
    .await;

    cluster.workers[busy].companion.signal("TERM");
    let requests_before = cluster.workers[busy].upstream.requests();
    let mut statuses = Vec::new();
    for number in 0..20 {
        let path = format!("/services/desk/lookup/{number}");
        statuses.push(
            send_json(cluster.client_request(0, Method::GET, &path))
                .await
                .0,
        );
    }
    let (status, _) = first.await.expect("the request task does not panic");
    let code = cluster.workers[busy].companion.wait().await;

    assert_eq!(status, 200);
    assert_eq!(statuses, [200; 20]);
    assert!(cluster.workers[busy].upstream.requests() <= requests_before + 1);
    assert_eq!(code, Some(0));
}

/// Guards against a graceful stop of an entry that aborts a request in flight (invariant 8), and
/// against an open watch that keeps the entry from stopping.
#[tokio::test]
async fn stopped_entry_completes_requests_in_flight() {
    let mut cluster = Cluster::start(1, 1).await;
    cluster.add_entry(1, &["--stop-deadline-ms=3000"]).await;
    cluster.wait_until_ready().await;
    let slow = tokio::spawn(send_json(cluster.client_request(
        1,
        Method::GET,
        "/services/desk/slow?ms=1000",
    )));
    let mut feed = cluster
        .client_request(1, Method::GET, "/services/desk/feed")
        .send()
        .await
        .expect("the feed starts");
    let first_line = feed.chunk().await.expect("the feed continues");
    eventually("the slow request is in flight", || async {
        (cluster.workers[0].upstream.in_flight() > 0).then_some(())
    })
    .await;

    cluster.entries[1].process.signal("TERM");
    let (status, _) = slow.await.expect("the request task does not panic");
    let code = cluster.entries[1].process.wait().await;

    assert!(first_line.is_some());
    assert_eq!(status, 200);
    assert_eq!(code, Some(0));
}

/// Guards against an urgent task that waits longer than 2.7 s behind a backlog of normal tasks.
#[tokio::test]
async fn urgent_task_starts_in_time_before_a_backlog() {
    let cluster = Cluster::start(2, 2).await;
    cluster.submit(0, "backlog", 400, 400).await;
    eventually("the backlog is running", || async {
        (cluster.running_tasks() > 0).then_some(())
    })
    .await;

    let submitted_at = Instant::now();
    cluster
        .submit_with_urgency(1, "urgent", 1, 10, job::Urgency::Urgent)
        .await;
    let started_at = eventually("the urgent task has started", || async {
        let mut intervals = cluster
            .workers
            .iter()
            .flat_map(|worker| worker.runtime.run_intervals());
        let urgent = intervals.find(|interval| interval.task.job.0 == "urgent")?;
        Some(urgent.started_at)
    })
    .await;
    let elapsed = started_at.duration_since(submitted_at);

    println!("urgent task began after {} ms", elapsed.as_millis());
    assert!(elapsed < Duration::from_millis(2_700), "{elapsed:?}");
}

/// Guards against an owner crash after which tasks are lost, run twice or never taken over
/// (invariants 2 and 3).
#[tokio::test]
async fn killed_owner_is_replaced_and_the_job_finishes() {
    let mut cluster = Cluster::start(3, 2).await;
    let (_, accepted) = read_json(cluster.submit(0, "plans", 12, 1_500).await).await;
    eventually("tasks are running", || async {
        (cluster.running_tasks() > 0).then_some(())
    })
    .await;
    let owner = cluster.owner_index();
    let successor = (owner + 1) % 3;

    cluster.entries[owner].process.signal("KILL");
    cluster.entries[owner].process.wait().await;
    let killed_at = Instant::now();
    eventually("another entry returns the job's status", || async {
        cluster.job_status(successor, "plans").await
    })
    .await;
    let elapsed = killed_at.elapsed();
    let status = cluster.wait_for_job(successor, "plans").await;

    println!("takeover after a kill took {} ms", elapsed.as_millis());
    assert_eq!(accepted["tasks"], 12);
    assert_eq!((status.finished, status.failed), (12, 0));
    assert_eq!(
        cluster.started_attempts(),
        12,
        "tasks that kept running were started again"
    );
    cluster.assert_task_invariants();
}

/// Guards against an owner that resumes after its lease expired and continues to grant tasks
/// (invariant 2).
#[tokio::test]
async fn paused_owner_grants_nothing_after_its_lease() {
    let cluster = Cluster::start(3, 2).await;
    cluster.submit(0, "plans", 16, 1_000).await;
    eventually("tasks are running", || async {
        (cluster.running_tasks() > 0).then_some(())
    })
    .await;
    let owner = cluster.owner_index();
    let successor = (owner + 1) % 3;

    cluster.entries[owner].process.signal("STOP");
    eventually("another entry owns the cell", || async {
        let holder = cluster.store.get("cell/0/holder")?;
        (!holder.value.contains(&cluster.entries[owner].peer)).then_some(())
    })
    .await;
    cluster.entries[owner].process.signal("CONT");
    let status = cluster.wait_for_job(successor, "plans").await;
    let former_owner_status = eventually(
        "the former owner gets the status from the new one",
        || async { cluster.job_status(owner, "plans").await },
    )
    .await;

    assert_eq!((status.finished, status.failed), (16, 0));
    assert_eq!(former_owner_status.finished, 16);
    cluster.assert_task_invariants();
}

/// Guards against a restarted companion that loses its running tasks or starts them again
/// (invariants 1 to 3).
#[tokio::test]
async fn restarted_companion_adopts_its_tasks() {
    let mut cluster = Cluster::start(1, 1).await;
    cluster.submit(0, "plans", 2, 3_000).await;
    eventually("both tasks are running", || async {
        (cluster.running_tasks() == 2).then_some(())
    })
    .await;

    cluster.workers[0].companion.signal("KILL");
    cluster.workers[0].companion.wait().await;
    cluster.workers[0].restart_companion();
    let status = cluster.wait_for_job(0, "plans").await;

    assert_eq!((status.finished, status.evictions), (2, 0));
    assert_eq!(cluster.started_attempts(), 2);
    cluster.assert_task_invariants();
}

/// Guards against a store outage that interrupts lookups or running tasks, and against requests or
/// jobs that are accepted without a durable record (invariants 5 and 6).
#[tokio::test]
async fn outage_of_the_store_refuses_only_what_needs_it() {
    let cluster = Cluster::start(2, 2).await;
    cluster.submit(0, "before", 2, 2_000).await;
    eventually("tasks are running", || async {
        (cluster.running_tasks() == 2).then_some(())
    })
    .await;

    cluster.store.set_down(true);
    let lookup = send_json(cluster.client_request(0, Method::GET, "/services/desk/lookup/1")).await;
    let keyed = cluster
        .client_request(1, Method::POST, "/services/desk/execute")
        .header("Idempotency-Key", "order-2")
        .body("order");
    let (_, keyed) = send_json(keyed).await;
    let (_, job) = read_json(cluster.submit(0, "during", 1, 10).await).await;
    let calls_before = cluster.store.calls_total();
    tokio::time::sleep(Duration::from_millis(4_000)).await;
    let outage_calls = cluster.store.calls_total() - calls_before;
    let attempts_during_outage = cluster.started_attempts();
    cluster.store.set_down(false);
    let status = cluster.wait_for_job(1, "before").await;
    let accepted = eventually("jobs are accepted again", || async {
        let response = cluster.submit(1, "after", 1, 10).await;
        response.status().is_success().then_some(())
    });
    accepted.await;
    cluster.wait_for_job(0, "after").await;

    println!("store calls of 2 entries in 4 s of outage: {outage_calls}");
    assert_eq!(lookup.0, 200);
    assert_eq!(keyed["kind"], "key_unverified", "{keyed}");
    assert_eq!(cluster.executions("order"), 0);
    assert!(job["run"] != "ran" && job["id"] != "during", "{job}");
    assert_eq!(
        attempts_during_outage, 2,
        "tasks were started again during the outage"
    );
    assert_eq!(status.finished, 2);
    assert!(outage_calls <= 2 * 20 * 4, "{outage_calls} calls");
    cluster.assert_task_invariants();
}

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

async fn read_json(response: reqwest::Response) -> (u16, Value) {
    let status = response.status().as_u16();
    let body = response.text().await.unwrap_or_default();
    (status, serde_json::from_str(&body).unwrap_or(Value::Null))
}
