//! Tests of jobs beside records that another writer left and that can't be read.

#[expect(dead_code, reason = "the stand-ins are shared with other tests")]
mod support;

use rstest::rstest;
use serde_json::json;
use support::{
    entry::{OWNER_TIMEOUT, start_entry},
    log::Lines,
    memory::Memory,
    odd::{deep, replaced},
};
use tokio::time::{Duration, Instant, sleep};
use toucanquay_model::graph::Id;
use toucanquay_node::{Entry, key};

fn record(steps: &serde_json::Value, schedule: &serde_json::Value) -> Vec<u8> {
    let policy = json!({ "pool": "desk", "priority": 1, "attempts_max": 3, "stretch": 2.0,
        "slack_ms": 1_000 });
    let job = json!({ "payload": "", "steps": steps, "schedule": schedule });
    let record = json!({ "queue": "plans", "policy": policy, "unix_ms": 1, "job": job });
    record.to_string().into_bytes()
}

/// Returns the record of a job that waits for a worker.
fn sound_record() -> Vec<u8> {
    record(&json!([{ "tasks": 1 }]), &json!(null))
}

/// Returns the record of a job of another queue, whose number of occurrences and times are large.
fn other_queue(steps: &serde_json::Value) -> Vec<u8> {
    let schedule = json!({ "occurrences": 100_000, "first_unix_ms": u64::MAX,
        "interval_ms": u64::MAX });
    replaced(&record(steps, &schedule), "plans", "others")
}

/// Returns whether exactly this number of jobs is queued, and still is after a while.
async fn has_queued(entry: &Entry, expected: u64) -> bool {
    for _ in 0..3 {
        let deadline = Instant::now() + OWNER_TIMEOUT;
        let mut pending = None;
        while pending != Some(expected) && Instant::now() < deadline {
            pending = entry.pending("plans", deadline).await.ok();
            sleep(Duration::from_millis(20)).await;
        }
        if pending != Some(expected) {
            return false;
        }
        sleep(Duration::from_millis(300)).await;
    }
    true
}

/// Guards against a job's record that can't be run, or be read, and ends each owner or keeps it
/// from following the sound ones.
#[rstest]
#[case::deep(deep(300))]
#[case::very_deep(deep(100_000))]
#[case::number(replaced(&sound_record(), "2.0", "1e999"))]
#[case::number_above_64_bits(replaced(&sound_record(), "1000", "36893488147419103232"))]
#[case::not_utf8(b"\xff\xfe".to_vec())]
#[case::no_steps(record(&json!([]), &json!(null)))]
#[case::unknown_dependency(record(&json!([{ "tasks": 1, "after": [7] }]), &json!(null)))]
#[case::too_many_tasks(record(&json!([{ "tasks": u32::MAX }]), &json!(null)))]
#[case::largest_numbers(other_queue(&json!([{ "tasks": 1, "estimate_ms": u64::MAX,
    "latency_target_ms": u32::MAX, "demand": { "processors_milli": u32::MAX,
    "memory_mb": u32::MAX, "accelerators": u32::MAX } }])))]
#[tokio::test]
async fn jobs_beside_an_odd_record_are_followed(#[case] value: Vec<u8>) {
    let (memory, lines) = (Memory::default(), Lines::default());
    memory.put(&key::job(Id::new(1)), &value);
    memory.put(&key::job(Id::new(2)), &sound_record());
    let entry = start_entry(&memory, &lines).await;
    let is_listed_queued = has_queued(&entry, 1).await;

    memory.put(&key::job(Id::new(3)), &value);
    memory.put(&key::job(Id::new(4)), &sound_record());
    let is_watched_queued = has_queued(&entry, 2).await;

    assert!(is_listed_queued, "the listed job");
    assert!(is_watched_queued, "the watched job");
    assert_eq!(memory.writes(key::FENCE), 1, "takeovers");
}

/// Guards against an entry among the progress records that can't be read and keeps each owner from
/// loading its state.
#[rstest]
#[case::deep(Some(deep(300)))]
#[case::very_deep(Some(deep(100_000)))]
#[case::not_utf8(Some(b"\xff\xfe".to_vec()))]
#[case::without_a_key(None)]
#[tokio::test]
async fn jobs_beside_an_odd_progress_record_are_followed(#[case] value: Option<Vec<u8>>) {
    let (memory, lines) = (Memory::default(), Lines::default());
    memory.put(&key::job(Id::new(2)), &sound_record());
    match value {
        Some(value) => memory.put("tq/progress/x", &value),
        None => memory.add_keyless_entry(key::PROGRESS),
    }
    let entry = start_entry(&memory, &lines).await;

    let is_queued = has_queued(&entry, 1).await;

    assert!(is_queued, "the job isn't followed");
}

/// Guards against a progress record that names tasks that the job doesn't have, and ends each owner.
#[rstest]
#[case::occurrence(json!({ "done": [[4_294_967_295_u32, 0, 0, 0]] }))]
#[case::step(json!({ "done": [[0, 65_535, 0, 0]] }))]
#[case::tasks(json!({ "done": [[0, 0, 1, 99_999]] }))]
#[case::tally(json!({ "tallies": [{ "place": { "occurrence": 0, "step": 9, "index": 9 },
    "failed": [18_446_744_073_709_551_615_u64] }] }))]
#[tokio::test]
async fn progress_of_unknown_tasks_does_not_end_the_owner(#[case] progress: serde_json::Value) {
    let (memory, lines) = (Memory::default(), Lines::default());
    for number in 1..=2 {
        memory.put(&key::job(Id::new(number)), &sound_record());
    }
    let progress = progress.to_string();
    memory.put(&key::progress(Id::new(1)), progress.as_bytes());
    let entry = start_entry(&memory, &lines).await;

    let is_queued = has_queued(&entry, 2).await;

    assert!(is_queued, "the jobs aren't followed");
}

/// Guards against a job that runs again because its progress record can't be read, while another
/// record's key can't be read either.
#[tokio::test]
async fn job_whose_progress_record_lost_its_key_is_withheld() {
    let (memory, lines) = (Memory::default(), Lines::default());
    for number in 1..=2 {
        memory.put(&key::job(Id::new(number)), &sound_record());
    }
    memory.put_unreadable(&key::progress(Id::new(1)));
    memory.hide_key(key::PROGRESS);
    let entry = start_entry(&memory, &lines).await;

    let is_queued = has_queued(&entry, 1).await;

    assert!(is_queued, "both jobs run, or none");
    assert_eq!(lines.of("job_withheld").len(), 1);
}

/// Guards against a progress record or a fence that can't be read and keeps the owner from recording
/// the ends of other jobs.
#[rstest]
#[case::progress(key::progress(Id::new(1)))]
#[case::fence(key::FENCE.to_owned())]
#[tokio::test]
async fn ends_beside_an_unreadable_record_are_recorded(#[case] odd: String) {
    let (memory, lines) = (Memory::default(), Lines::default());
    for number in 1..=2 {
        memory.put(&key::job(Id::new(number)), &sound_record());
    }
    let entry = start_entry(&memory, &lines).await;
    assert!(has_queued(&entry, 2).await, "the jobs aren't followed");

    memory.put_unreadable(&odd);
    for number in 1..=2 {
        memory.put(&key::cancel(Id::new(number)), b"");
    }
    let deadline = Instant::now() + OWNER_TIMEOUT;
    let is_recorded = || (1..=2).all(|number| memory.is_readable(&key::progress(Id::new(number))));
    while !is_recorded() && Instant::now() < deadline {
        sleep(Duration::from_millis(20)).await;
    }

    assert!(is_recorded(), "an end isn't recorded");
}
