//! Tests of submissions and cancellations that take effect late in the store.

#[expect(dead_code, reason = "the stand-ins are shared with other tests")]
mod support;

use futures_util::future::join_all;
use rstest::rstest;
use serde_json::json;
use support::{
    entry::{OWNER_TIMEOUT, settings, start_entry, start_entry_with, start_named_entry},
    free_address,
    log::Lines,
    memory::Memory,
};
use tokio::time::{Duration, Instant, sleep};
use toucanquay_model::{
    ErrorKind,
    graph::{Id, Job},
};
use toucanquay_node::{
    Entry,
    entry::{self, Target},
    key,
};

/// Identifier of the job whose submission or cancellation is late.
const ID: Id = Id::new(7);

/// Time after which a late write is carried out.
const LATE_BY: Duration = Duration::from_millis(1_200);

/// Time within which clients expect an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_800);

/// Time that an impatient client waits for an answer.
const PATIENCE: Duration = Duration::from_millis(300);

/// Time after a late write within which the owner reads it.
const READ_MARGIN: Duration = Duration::from_millis(700);

fn target() -> Target {
    let policy = json!({ "pool": "desk", "priority": 1, "attempts_max": 3, "stretch": 2.0,
        "slack_ms": 1_000 });
    Target {
        queue: "plans".to_owned(),
        policy: serde_json::from_value(policy).expect("a queue"),
        path_suffix: String::new(),
    }
}

/// Returns a job that waits for a worker.
fn job() -> Job {
    let job = json!({ "payload": "", "steps": [{ "tasks": 1 }], "schedule": null });
    serde_json::from_value(job).expect("a job")
}

fn answer_deadline() -> Instant {
    Instant::now() + ANSWER_TIMEOUT
}

/// Submits the job. Returns the kind of the error.
async fn submit(entry: &Entry, id: Id, deadline: Instant) -> Result<(), ErrorKind> {
    let submitted = entry.submit(&target(), id, job(), deadline).await;
    submitted.map_err(|error| error.kind())
}

/// Submits the job from a client that leaves before its late write is carried out.
async fn submit_late(memory: &Memory, entry: &Entry) {
    memory.delay_next_write(&key::job(ID), LATE_BY);
    let submitted = submit(entry, ID, Instant::now() + PATIENCE).await;
    assert_eq!(submitted, Err(ErrorKind::OutcomeUnknown));
}

async fn pending(entry: &Entry) -> Option<u64> {
    let deadline = Instant::now() + OWNER_TIMEOUT;
    entry.pending("plans", deadline).await.ok()
}

/// Stops an entry and starts another one, which becomes the owner.
async fn replaced(entry: Entry, memory: &Memory, lines: &Lines) -> Entry {
    entry.drain(Instant::now()).await;
    entry.stop();
    let next = start_named_entry("front-2", free_address(), memory, lines).await;
    assert!(pending(&next).await.is_some(), "there is no owner");
    next
}

/// Guards against a job that runs after its cancelling was acknowledged, since the write of its
/// submission is carried out late.
#[rstest]
#[case::same_owner(false, false)]
#[case::owner_that_takes_over_before_the_late_write(true, false)]
#[case::owner_that_takes_over_after_the_late_write(false, true)]
#[tokio::test]
async fn cancelled_submission_that_takes_effect_late_never_runs(
    #[case] takes_over_before: bool,
    #[case] takes_over_after: bool,
) {
    let (memory, lines) = (Memory::default(), Lines::default());
    let mut entry = start_entry(&memory, &lines).await;
    assert_eq!(pending(&entry).await, Some(0));
    submit_late(&memory, &entry).await;

    let cancelled = entry.cancel("plans", ID, answer_deadline()).await;
    if takes_over_before {
        entry = replaced(entry, &memory, &lines).await;
    }
    sleep(LATE_BY + READ_MARGIN).await;
    if takes_over_after {
        entry = replaced(entry, &memory, &lines).await;
    }
    let state = entry.state(ID, answer_deadline()).await;

    assert!(cancelled.is_ok(), "{cancelled:?}");
    assert_eq!(state.expect("a state"), None);
    assert_eq!(pending(&entry).await, Some(0));
}

/// Guards against a cancelling that finds a job whose submission has just taken effect, and doesn't
/// cancel it.
#[tokio::test]
async fn cancelling_after_the_late_write_cancels_the_job() {
    let (memory, lines) = (Memory::default(), Lines::default());
    let entry = start_entry(&memory, &lines).await;
    assert_eq!(pending(&entry).await, Some(0));
    submit_late(&memory, &entry).await;
    sleep(LATE_BY).await;

    let cancelled = entry.cancel("plans", ID, answer_deadline()).await;
    sleep(READ_MARGIN).await;

    assert_eq!(cancelled.ok(), Some(true));
    assert_eq!(pending(&entry).await, Some(0));
}

/// Guards against a cancelling that is carried out late and takes a job away that was accepted
/// meanwhile.
#[tokio::test]
async fn cancelling_that_takes_effect_late_spares_a_job_accepted_before() {
    let (memory, lines) = (Memory::default(), Lines::default());
    let entry = start_entry(&memory, &lines).await;
    assert_eq!(pending(&entry).await, Some(0));
    memory.delay_next_write(&key::job(ID), LATE_BY);
    let _ = entry.cancel("plans", ID, Instant::now() + PATIENCE).await;

    let submitted = submit(&entry, ID, answer_deadline()).await;
    sleep(LATE_BY + READ_MARGIN).await;

    assert_eq!(submitted, Ok(()));
    assert_eq!(pending(&entry).await, Some(1));
}

/// Guards against a cancellation that is carried out after its job was removed, and would cancel a
/// later job of that identifier without a word to its client.
#[tokio::test]
async fn cancellation_after_the_removal_of_its_job_leaves_nothing() {
    let (memory, lines) = (Memory::default(), Lines::default());
    let entry = start_entry(&memory, &lines).await;
    assert_eq!(submit(&entry, ID, answer_deadline()).await, Ok(()));
    memory.delay_next_write(&key::cancel(ID), LATE_BY);
    let _ = entry.cancel("plans", ID, Instant::now() + PATIENCE).await;

    memory.remove(&key::job(ID));
    sleep(LATE_BY + READ_MARGIN).await;

    assert_eq!(memory.get(&key::cancel(ID)), None);
}

/// Returns an entry that removes ended jobs at its next search for them.
async fn start_entry_that_forgets(memory: &Memory, lines: &Lines) -> Entry {
    let settings = entry::Settings {
        job_retention: Duration::ZERO,
        ..settings("front-1", free_address())
    };
    start_entry_with(settings, memory, lines).await
}

/// Submits a job and cancels it, and waits until its removal is on the way.
async fn end_job(memory: &Memory, entry: &Entry) {
    assert_eq!(submit(entry, ID, answer_deadline()).await, Ok(()));
    memory.delay_next_write(&key::job(ID), LATE_BY);
    let cancelled = entry.cancel("plans", ID, answer_deadline()).await;
    assert_eq!(cancelled.ok(), Some(true));
    let deadline = Instant::now() + OWNER_TIMEOUT;
    while memory.has_late_write(&key::job(ID)) {
        assert!(Instant::now() < deadline, "the job isn't removed");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against the removal of an ended job that is carried out late and takes away a job that was
/// accepted meanwhile under the same identifier.
#[tokio::test]
async fn removal_that_takes_effect_late_spares_a_job_accepted_before() {
    let (memory, lines) = (Memory::default(), Lines::default());
    let entry = start_entry_that_forgets(&memory, &lines).await;
    end_job(&memory, &entry).await;

    // Another attempt of the removal has succeeded.
    for key in [key::cancel(ID), key::progress(ID), key::job(ID)] {
        memory.remove(&key);
    }
    let submitted = submit(&entry, ID, answer_deadline()).await;
    sleep(LATE_BY + READ_MARGIN).await;

    assert_eq!(submitted, Ok(()));
    assert!(memory.get(&key::job(ID)).is_some(), "the job is lost");
}

/// Guards against a job that the owner ignores since it still knows an ended one of the same
/// identifier, whose removal took effect without an answer.
#[tokio::test]
async fn job_accepted_after_an_unanswered_removal_is_followed() {
    let (memory, lines) = (Memory::default(), Lines::default());
    let entry = start_entry_that_forgets(&memory, &lines).await;
    end_job(&memory, &entry).await;
    sleep(LATE_BY).await;

    let submitted = submit(&entry, ID, answer_deadline()).await;
    sleep(READ_MARGIN).await;

    assert_eq!(submitted, Ok(()));
    assert_eq!(pending(&entry).await, Some(1));
}

/// Guards against a repeated submission that is acknowledged after its cancelling, although the
/// state of the job shows that there is none.
#[tokio::test]
async fn submission_repeated_after_its_cancelling_is_refused() {
    let (memory, lines) = (Memory::default(), Lines::default());
    let entry = start_entry(&memory, &lines).await;
    assert_eq!(pending(&entry).await, Some(0));
    submit_late(&memory, &entry).await;
    let cancelled = entry.cancel("plans", ID, answer_deadline()).await;

    let repeated = submit(&entry, ID, answer_deadline()).await;
    let cancelled_again = entry.cancel("plans", ID, answer_deadline()).await;
    let state = entry.state(ID, answer_deadline()).await;

    assert_eq!(cancelled.ok(), Some(false));
    assert_eq!(repeated, Err(ErrorKind::JobWithdrawn));
    assert_eq!(cancelled_again.ok(), Some(false));
    assert_eq!(state.expect("a state"), None);
    assert_eq!(pending(&entry).await, Some(0));
}

/// Guards against cancelled identifiers that are kept in the store for good, and block later jobs.
#[rstest]
#[case::same_owner(false)]
#[case::next_owner(true)]
#[tokio::test]
async fn cancelled_identifiers_are_free_after_their_retention(#[case] takes_over: bool) {
    const IDS: u64 = 40;
    let (memory, lines) = (Memory::default(), Lines::default());
    let start = async |name: &str| {
        let settings = entry::Settings {
            withdrawal_retention: Duration::from_millis(500),
            ..settings(name, free_address())
        };
        start_entry_with(settings, &memory, &lines).await
    };
    let mut entry = start("front-1").await;
    assert_eq!(pending(&entry).await, Some(0));
    let cancellations =
        (0..IDS).map(|number| entry.cancel("plans", Id::new(number), answer_deadline()));
    let cancelled = join_all(cancellations).await;
    if takes_over {
        entry.drain(Instant::now()).await;
        entry.stop();
        entry = start("front-2").await;
        assert_eq!(pending(&entry).await, Some(0));
    }

    let deadline = Instant::now() + OWNER_TIMEOUT;
    let is_kept = || (0..IDS).any(|number| memory.get(&key::job(Id::new(number))).is_some());
    while is_kept() && Instant::now() < deadline {
        sleep(Duration::from_millis(20)).await;
    }
    let is_any_kept = is_kept();
    let submitted = submit(&entry, Id::new(1), answer_deadline()).await;
    sleep(READ_MARGIN).await;

    assert!(cancelled.iter().all(Result::is_ok), "{cancelled:?}");
    assert!(!is_any_kept, "a withdrawal is kept");
    assert_eq!(submitted, Ok(()));
    assert_eq!(pending(&entry).await, Some(1));
}

/// Guards against cancellations of identifiers without a job that take the store's calls from
/// submissions, or that wait until their deadlines pass instead of being refused.
#[tokio::test]
async fn thousand_cancellations_without_a_job_leave_the_store_to_others() {
    const IDS: u64 = 1_000;
    let (memory, lines) = (Memory::default(), Lines::default());
    let entry = start_entry(&memory, &lines).await;
    assert_eq!(pending(&entry).await, Some(0));
    let (began_at, transactions) = (Instant::now(), memory.transactions());

    let cancel = async |number: u64| {
        let cancelled = entry
            .cancel("plans", Id::new(100 + number), answer_deadline())
            .await;
        (cancelled.map_err(|error| error.kind()), began_at.elapsed())
    };
    let submit_beside = async {
        let submitted = submit(&entry, ID, answer_deadline()).await;
        (submitted, began_at.elapsed())
    };
    let (cancelled, (submitted, submitted_after)) =
        tokio::join!(join_all((0..IDS).map(cancel)), submit_beside);
    let seconds = began_at.elapsed().as_secs_f64();
    let calls = memory.transactions() - transactions;

    let withdrawn = cancelled.iter().filter(|(result, _)| *result == Ok(false));
    let refused = cancelled
        .iter()
        .filter(|(result, _)| *result == Err(ErrorKind::Overloaded));
    let longest_refusal = refused.clone().map(|(_, after)| *after).max();
    println!(
        "{} withdrawn, {} refused within {longest_refusal:?}, {calls} transactions in {seconds} s",
        withdrawn.clone().count(),
        refused.clone().count(),
    );
    assert_eq!(submitted, Ok(()));
    assert!(submitted_after < Duration::from_millis(500));
    assert_eq!(withdrawn.count() + refused.count(), 1_000);
    assert!(longest_refusal < Some(Duration::from_millis(500)));
    // Ten batches a second, and as many calls for the job and the owner's renewals.
    assert!(calls as f64 <= 20.0 * (seconds + 1.0), "{calls} calls");
}
