//! The real programs under kills, pauses, restarts and an outage of the store.

mod support;

use std::time::Duration;

use reqwest::Method;
use serde_json::{Value, json};
use support::{
    eventually,
    site::{GUEST_SECTION, SECTION, Site},
};
use tokio::time::Instant;
use toucanquay_model::job;

async fn json(call: reqwest::RequestBuilder) -> (u16, Value) {
    let answer = call.send().await.expect("the entry answers");
    let status = answer.status().as_u16();
    let body = answer.text().await.unwrap_or_default();
    (status, serde_json::from_str(&body).unwrap_or(Value::Null))
}

/// Guards against a lost companion that leads to a false "not run", or to a second execution when
/// the client repeats the request (invariants 5 and 6).
#[tokio::test]
async fn killed_companion_leaves_the_outcome_unknown_and_runs_nothing_twice() {
    let mut site = Site::start(2, 1).await;
    let slow = |site: &Site, entry: usize| {
        site.call(entry, Method::POST, "/services/desk/slow?ms=3000")
            .header("Idempotency-Key", "order-1")
            .body("order")
    };
    let first = tokio::spawn(json(slow(&site, 0)));
    eventually("the order reached the upstream", || async {
        (site.workers[0].upstream.requests() > 0).then_some(())
    })
    .await;

    site.workers[0].companion.signal("KILL");
    site.workers[0].companion.end().await;
    let (_, answer) = first.await.expect("the call ends");
    site.workers[0].restart();
    site.settle().await;
    let (_, repeat) = json(slow(&site, 1)).await;

    assert_eq!(answer["run"], "unknown", "{answer}");
    assert_eq!(repeat["run"], "unknown", "{repeat}");
    assert_eq!(site.workers[0].upstream.requests(), 1);
}

/// Guards against a planned stop of a companion that cuts off a request, and against new requests
/// that still go to it (invariants 7 and 8).
#[tokio::test]
async fn stopped_companion_ends_what_it_has_begun() {
    let mut site = Site::start(1, 2).await;
    let slow = site.call(0, Method::GET, "/services/desk/slow?ms=1500");
    let first = tokio::spawn(json(slow));
    let busy = eventually("an upstream has the request", || async {
        site.workers
            .iter()
            .position(|worker| worker.upstream.in_flight() > 0)
    })
    .await;

    site.workers[busy].companion.signal("TERM");
    let before = site.workers[busy].upstream.requests();
    let mut statuses = Vec::new();
    for number in 0..20 {
        let path = format!("/services/desk/lookup/{number}");
        statuses.push(json(site.call(0, Method::GET, &path)).await.0);
    }
    let (status, _) = first.await.expect("the call ends");
    let code = site.workers[busy].companion.end().await;

    assert_eq!(status, 200);
    assert_eq!(statuses, [200; 20]);
    assert!(site.workers[busy].upstream.requests() <= before + 1);
    assert_eq!(code, Some(0));
}

/// Guards against a planned stop of an entry that cuts off a request (invariant 8), and against a
/// watch that keeps it from ever stopping.
#[tokio::test]
async fn stopped_entry_ends_what_it_has_begun() {
    let mut site = Site::start(1, 1).await;
    site.add_entry(1, &["--stop-deadline-ms=3000"]).await;
    site.settle().await;
    let slow = tokio::spawn(json(site.call(
        1,
        Method::GET,
        "/services/desk/slow?ms=1000",
    )));
    let mut feed = site
        .call(1, Method::GET, "/services/desk/feed")
        .send()
        .await
        .expect("the feed begins");
    let first_line = feed.chunk().await.expect("the feed goes on");
    eventually("the slow request is in flight", || async {
        (site.workers[0].upstream.in_flight() > 0).then_some(())
    })
    .await;

    site.entries[1].process.signal("TERM");
    let (status, _) = slow.await.expect("the call ends");
    let code = site.entries[1].process.end().await;

    assert!(first_line.is_some());
    assert_eq!(status, 200);
    assert_eq!(code, Some(0));
}

/// Guards against urgent work that waits behind a backlog of other work for longer than 2.7 s.
#[tokio::test]
async fn urgent_task_starts_in_time_before_a_backlog() {
    let site = Site::start(2, 2).await;
    site.submit(0, "backlog", 400, 400).await;
    eventually("the backlog runs", || async {
        (site.running() > 0).then_some(())
    })
    .await;

    let submitted_at = Instant::now();
    site.submit_as(1, "urgent", 1, 10, job::Urgency::Urgent)
        .await;
    let began = eventually("the urgent task has begun", || async {
        let mut begun = site
            .workers
            .iter()
            .flat_map(|worker| worker.runtime.run_intervals());
        let urgent = begun.find(|interval| interval.task.job.0 == "urgent")?;
        Some(urgent.started_at)
    })
    .await;
    let took = began.duration_since(submitted_at);

    println!("urgent task began after {} ms", took.as_millis());
    assert!(took < Duration::from_millis(2_700), "{took:?}");
}

/// Guards against a dead owner whose tasks are lost, doubled or never taken over (invariants 2, 3).
#[tokio::test]
async fn killed_owner_is_succeeded_and_the_job_finishes() {
    let mut site = Site::start(3, 2).await;
    let (_, accepted) = json_of(site.submit(0, "plans", 12, 1_500).await).await;
    eventually("tasks run", || async { (site.running() > 0).then_some(()) }).await;
    let owner = site.owner();
    let other = (owner + 1) % 3;

    site.entries[owner].process.signal("KILL");
    site.entries[owner].process.end().await;
    let killed_at = Instant::now();
    eventually("another entry answers for the job", || async {
        site.job(other, "plans").await
    })
    .await;
    let took = killed_at.elapsed();
    let status = site.finished(other, "plans").await;

    println!("takeover after a kill took {} ms", took.as_millis());
    assert_eq!(accepted["tasks"], 12);
    assert_eq!((status.finished, status.failed), (12, 0));
    assert_eq!(site.attempts(), 12, "tasks that went on were started again");
    site.assert_tasks_ran_once_at_a_time();
}

/// Guards against an owner that was paused past its lease and goes on granting (invariant 2).
#[tokio::test]
async fn paused_owner_grants_nothing_after_its_lease() {
    let site = Site::start(3, 2).await;
    site.submit(0, "plans", 16, 1_000).await;
    eventually("tasks run", || async { (site.running() > 0).then_some(()) }).await;
    let owner = site.owner();
    let other = (owner + 1) % 3;

    site.entries[owner].process.signal("STOP");
    eventually("another entry owns the cell", || async {
        let holder = site.store.get("cell/0/holder")?;
        (!holder.value.contains(&site.entries[owner].peer)).then_some(())
    })
    .await;
    site.entries[owner].process.signal("CONT");
    let status = site.finished(other, "plans").await;
    let late = eventually("the former owner asks the new one", || async {
        site.job(owner, "plans").await
    })
    .await;

    assert_eq!((status.finished, status.failed), (16, 0));
    assert_eq!(late.finished, 16);
    site.assert_tasks_ran_once_at_a_time();
}

/// Guards against a restarted companion that starts its running tasks again, or loses them
/// (invariants 1 to 3).
#[tokio::test]
async fn restarted_companion_adopts_its_tasks() {
    let mut site = Site::start(1, 1).await;
    site.submit(0, "plans", 2, 3_000).await;
    eventually("both tasks run", || async {
        (site.running() == 2).then_some(())
    })
    .await;

    site.workers[0].companion.signal("KILL");
    site.workers[0].companion.end().await;
    site.workers[0].restart();
    let status = site.finished(0, "plans").await;

    assert_eq!((status.finished, status.evictions), (2, 0));
    assert_eq!(site.attempts(), 2);
    site.assert_tasks_ran_once_at_a_time();
}

/// Guards against an outage of the store that stops lookups or running tasks, and against work that
/// is accepted without a durable record (invariants 5 and 6).
#[tokio::test]
async fn outage_of_the_store_refuses_only_what_needs_it() {
    let site = Site::start(2, 2).await;
    site.submit(0, "before", 2, 2_000).await;
    eventually("tasks run", || async {
        (site.running() == 2).then_some(())
    })
    .await;

    site.store.set_down(true);
    let lookup = json(site.call(0, Method::GET, "/services/desk/lookup/1")).await;
    let keyed = site
        .call(1, Method::POST, "/services/desk/execute")
        .header("Idempotency-Key", "order-2")
        .body("order");
    let (_, keyed) = json(keyed).await;
    let (_, job) = json_of(site.submit(0, "during", 1, 10).await).await;
    let before = site.store.calls_total();
    tokio::time::sleep(Duration::from_millis(4_000)).await;
    let outage_calls = site.store.calls_total() - before;
    let running_on = site.attempts();
    site.store.set_down(false);
    let status = site.finished(1, "before").await;
    let later = eventually("jobs are accepted again", || async {
        let answer = site.submit(1, "after", 1, 10).await;
        answer.status().is_success().then_some(())
    });
    later.await;
    site.finished(0, "after").await;

    println!("store calls of 2 entries in 4 s of outage: {outage_calls}");
    assert_eq!(lookup.0, 200);
    assert_eq!(keyed["kind"], "key_unverified", "{keyed}");
    assert_eq!(site.executions("order"), 0);
    assert!(job["run"] != "ran" && job["id"] != "during", "{job}");
    assert_eq!(running_on, 2, "tasks were started again during the outage");
    assert_eq!(status.finished, 2);
    assert!(outage_calls <= 2 * 20 * 4, "{outage_calls} calls");
    site.assert_tasks_ran_once_at_a_time();
}

/// Guards against a leaving department whose upstream gets new work, or whose worker's tasks are
/// lost or doubled (invariants 3 and 7).
#[tokio::test]
async fn leaving_department_is_drained() {
    let site = Site::start_with_guest(2, 1).await;
    site.submit(0, "plans", 8, 2_000).await;
    eventually("the lent worker has tasks", || async {
        (site.workers[1].runtime.running_count() > 0).then_some(())
    })
    .await;
    let revision = site
        .store
        .get("config/section/guest")
        .expect("it is there")
        .revision;
    let text = "state = \"leaving\"\n[services.kiosk]\n";
    let edit = json!({ "text": text, "expected": revision, "author": "ann" });

    let edited_at = Instant::now();
    let call = site.operate(0, Method::PUT, "/document/guest").json(&edit);
    let (status, applied) = json(call).await;
    eventually("the kiosk is refused at both entries", || async {
        for entry in 0..2 {
            let call = site.call(entry, Method::GET, "/services/kiosk/lookup/1");
            if json(call).await.1["kind"] != "leaving" {
                return None;
            }
        }
        Some(())
    })
    .await;
    let refused_after = edited_at.elapsed();
    eventually("the upstream is drained", || async {
        let known = site.upstreams(1).await?;
        let guest = known
            .as_array()?
            .iter()
            .find(|upstream| upstream["team"] == "guest")?;
        (guest["state"] == "drained").then_some(())
    })
    .await;
    let drained_after = edited_at.elapsed();
    let starts = site.workers[1].runtime.run_intervals().len();
    let status_of_job = site.finished(0, "plans").await;

    println!(
        "new work refused after {} ms, drained after {} ms",
        refused_after.as_millis(),
        drained_after.as_millis()
    );
    assert_eq!(status, 200, "{applied}");
    assert!(refused_after < Duration::from_secs(5), "{refused_after:?}");
    assert_eq!(
        site.workers[1].runtime.run_intervals().len(),
        starts,
        "it got new work"
    );
    assert_eq!(status_of_job.finished, 8);
    assert!(status_of_job.evictions > 0);
    site.assert_tasks_ran_once_at_a_time();
}

/// Guards against a department that has returned and whose worker still gets no tasks.
#[tokio::test]
async fn returned_department_gets_tasks_again() {
    let site = Site::start_with_guest(1, 1).await;
    let section = |text: &str| {
        site.store.write("config/section/guest", text);
    };
    let guest_state = |wanted: &'static str| {
        let site = &site;
        eventually("the upstream is in the wanted state", move || async move {
            let known = site.upstreams(0).await?;
            let is_guest = |upstream: &&Value| upstream["team"] == "guest";
            let guest = known.as_array()?.iter().find(is_guest)?;
            (guest["state"] == wanted).then_some(())
        })
    };
    section("state = \"leaving\"\n[services.kiosk]\n");
    guest_state("drained").await;

    section(GUEST_SECTION);
    guest_state("available").await;
    // One worker alone takes at least 4.5 s for these, far longer than an exchange is held.
    site.submit(0, "plans", 60, 300).await;
    site.finished(0, "plans").await;

    assert!(!site.workers[1].runtime.run_intervals().is_empty());
    site.assert_tasks_ran_once_at_a_time();
}

/// Guards against an entry without configuration that calls a service unknown which it can't look
/// up.
#[tokio::test]
async fn entry_without_configuration_says_so() {
    let mut site = Site::start(1, 1).await;
    site.store.set_down(true);
    site.add_entry(1, &[]).await;

    let (ready, probe) = json(site.call(1, Method::GET, "/ready")).await;
    let (_, lookup) = json(site.call(1, Method::GET, "/services/desk/lookup/1")).await;
    let (_, jobs) = json(site.call(1, Method::GET, "/jobs")).await;

    assert_eq!((ready, &probe["kind"]), (503, &json!("shutting_down")));
    assert_eq!(lookup["kind"], "store_unavailable", "{lookup}");
    assert_eq!(jobs["kind"], "no_owner", "{jobs}");
}

/// Guards against an entry that starts during an outage of the store, knows no other entry, and
/// stays without configuration although companions have it (invariant 9).
#[tokio::test]
async fn entry_gets_its_configuration_from_a_companion() {
    let mut site = Site::start(1, 1).await;
    let mut former = site.entries.remove(0);
    let peer = former.peer.clone();
    site.store.set_down(true);
    former.process.signal("KILL");
    former.process.end().await;

    site.add_entry(0, &[&format!("--peer-listen={peer}")]).await;
    eventually("the new entry serves lookups", || async {
        let call = site.call(0, Method::GET, "/services/desk/lookup/1");
        (call.send().await.ok()?.status().as_u16() == 200).then_some(())
    })
    .await;
}

/// Guards against a racing edit that overwrites another, and against an accepted edit that an
/// entry started during an outage of the store does not know (invariant 9).
#[tokio::test]
async fn accepted_edit_survives_a_race_a_restart_and_an_outage() {
    let mut site = Site::start(2, 1).await;
    let revision = site
        .store
        .get("config/section/team")
        .expect("it is there")
        .revision;
    let edit = |site: &Site, entry: usize, deadline_ms: u64, author: &str| {
        let text = SECTION.replace("10000", &deadline_ms.to_string());
        let body = json!({ "text": text, "expected": revision, "author": author });
        json(
            site.operate(entry, Method::PUT, "/document/team")
                .json(&body),
        )
    };

    let ((first, one), (second, two)) =
        tokio::join!(edit(&site, 0, 7_001, "ann"), edit(&site, 1, 7_002, "bob"));
    let (winner, loser) = if first == 200 {
        (&one, &two)
    } else {
        (&two, &one)
    };
    let edited_at = Instant::now();
    let route = format!("/document-in-force?revision={}", winner["revision"]);
    let (_, in_force) = json(site.operate(0, Method::GET, &route)).await;
    let in_force_after = edited_at.elapsed();
    site.store.set_down(true);
    let peer = format!("--peers={}", site.entries[0].peer);
    site.add_entry(2, &[&peer]).await;
    eventually("the new entry holds the edit", || async {
        let call = site.operate(0, Method::GET, &route);
        let (_, state) = json(call).await;
        let (status, _) = json(site.call(2, Method::GET, "/ready")).await;
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

async fn json_of(answer: reqwest::Response) -> (u16, Value) {
    let status = answer.status().as_u16();
    let body = answer.text().await.unwrap_or_default();
    (status, serde_json::from_str(&body).unwrap_or(Value::Null))
}
