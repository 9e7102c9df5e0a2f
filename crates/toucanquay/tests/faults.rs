//! Fault injection with the real programs: kills, pauses, restarts and store outages.

mod support;

use std::time::Duration;

use reqwest::Method;
use support::{cluster::Cluster, eventually, read_json, send_json};
use tokio::time::Instant;
use toucanquay_model::job;

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
