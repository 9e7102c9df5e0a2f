//! Tests of the request ledger, by cases and against a model that never removes a record.

use std::collections::HashSet;

use proptest::prelude::*;
use rstest::rstest;
use toucanquay_control::ledger::{
    Decision, FINISHED_MAX, FINISHED_TTL_MS, KEYED_TTL_MS, Ledger, Outcome, RESPONSE_BYTES_MAX,
    RESPONSES_BYTES_MAX, Request, Response, TOMBSTONE_TTL_MS, TOMBSTONES_MAX,
};
use toucanquay_model::{Time, request::Id, request::Verdict};

const INCARNATION: u64 = 5;

fn id(number: u64) -> Id {
    Id::new(1, number)
}

fn request(number: u64, is_keyed: bool) -> Request {
    Request {
        id: id(number),
        incarnation: INCARNATION,
        is_keyed,
    }
}

fn response(length: usize) -> Response {
    Response {
        status: 200,
        headers: Vec::new(),
        body: vec![7; length],
    }
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Returns a ledger in which request 1 has ended with `outcome` at time zero.
fn ledger_with_ended_request(is_keyed: bool, outcome: Outcome) -> Ledger {
    let mut ledger = Ledger::new(INCARNATION);
    assert_eq!(
        ledger.begin(request(1, is_keyed), Time::ZERO),
        Decision::Run
    );
    ledger.finish(id(1), outcome, Time::ZERO);
    ledger
}

/// Guards against a request that runs twice, and against "not run" for a request that has run.
#[rstest]
#[case::complete(Outcome::Complete(None), Decision::Finished, Verdict::Finished)]
#[case::unknown(Outcome::Unknown, Decision::Unknown, Verdict::Unknown)]
#[case::not_run(Outcome::NotRun, Decision::Run, Verdict::Running)]
fn ended_request_is_remembered(
    #[case] outcome: Outcome,
    #[case] again: Decision,
    #[case] verdict: Verdict,
) {
    let mut ledger = ledger_with_ended_request(false, outcome);

    assert_eq!(ledger.begin(request(1, false), at(1)), again);
    assert_eq!(ledger.tombstone(id(1), INCARNATION, at(1)), verdict);
}

/// Guards against a request that runs although "not run" was reported for it.
#[test]
fn tombstoned_request_never_runs() {
    let mut ledger = Ledger::new(INCARNATION);

    let verdict = ledger.tombstone(id(1), INCARNATION, Time::ZERO);

    assert_eq!(verdict, Verdict::NotRun);
    assert_eq!(ledger.begin(request(1, false), at(1)), Decision::Tombstoned);
    let later = at(TOMBSTONE_TTL_MS + 1);
    assert_eq!(ledger.begin(request(1, false), later), Decision::Unknown);
}

/// Guards against statements about what another incarnation did.
#[test]
fn other_incarnation_is_not_answered_for() {
    let mut ledger = Ledger::new(INCARNATION);
    let mut other = request(1, false);
    other.incarnation = INCARNATION - 1;

    assert_eq!(ledger.begin(other, Time::ZERO), Decision::WrongIncarnation);
    let verdict = ledger.tombstone(id(1), INCARNATION - 1, Time::ZERO);
    assert_eq!(verdict, Verdict::Unknown);
    assert!(ledger.is_empty());
}

/// Guards against a request that is reported as "not run" or runs again after its record was
/// removed, and against records that are retained forever.
#[rstest]
#[case::plain(false, FINISHED_TTL_MS)]
#[case::keyed(true, KEYED_TTL_MS)]
fn forgotten_request_is_unknown(#[case] is_keyed: bool, #[case] ttl_ms: u64) {
    let mut ledger = ledger_with_ended_request(is_keyed, Outcome::Complete(None));

    let before = ledger.tombstone(id(1), INCARNATION, at(ttl_ms - 1));
    let after = ledger.tombstone(id(1), INCARNATION, at(ttl_ms));

    assert_eq!(before, Verdict::Finished);
    assert_eq!(after, Verdict::Unknown);
    assert!(ledger.is_empty());
    assert_eq!(
        ledger.begin(request(1, false), at(ttl_ms)),
        Decision::Unknown
    );
    assert_eq!(ledger.begin(request(2, false), at(ttl_ms)), Decision::Run);
    let other_entry = ledger.tombstone(Id::new(2, 1), INCARNATION, at(ttl_ms));
    assert_eq!(other_entry, Verdict::NotRun);
}

/// Guards against a missing replay, and against large responses that exhaust the memory.
#[rstest]
#[case::keyed(true, RESPONSE_BYTES_MAX, true)]
#[case::too_large(true, RESPONSE_BYTES_MAX + 1, false)]
#[case::plain(false, 1, false)]
fn small_response_of_a_keyed_request_is_retained(
    #[case] is_keyed: bool,
    #[case] length: usize,
    #[case] is_retained: bool,
) {
    let mut ledger = ledger_with_ended_request(is_keyed, Outcome::Complete(Some(response(length))));

    let again = ledger.begin(request(1, is_keyed), at(1));

    assert_eq!(
        matches!(again, Decision::Replay(_)),
        is_retained,
        "{again:?}"
    );
    assert_eq!(
        ledger.retained_bytes(),
        if is_retained { length } else { 0 }
    );
    let _ = ledger.tombstone(id(9), INCARNATION, at(KEYED_TTL_MS));
    assert_eq!(ledger.retained_bytes(), 0);
}

/// Guards against a flood of requests that exhausts the memory, and against evicted records that
/// lead to a false verdict.
#[test]
fn memory_is_bounded_and_evicted_requests_are_unknown() {
    let mut ledger = Ledger::new(INCARNATION);
    for number in 1..=FINISHED_MAX as u64 + 10 {
        assert_eq!(ledger.begin(request(number, false), at(1)), Decision::Run);
        ledger.finish(id(number), Outcome::Complete(None), at(1));
    }
    for number in 0..TOMBSTONES_MAX as u64 {
        let tombstoned = Id::new(2, number);
        assert_eq!(
            ledger.tombstone(tombstoned, INCARNATION, at(1)),
            Verdict::NotRun
        );
    }

    let verdict_above_limit = ledger.tombstone(Id::new(3, 1), INCARNATION, at(1));

    assert_eq!(verdict_above_limit, Verdict::Unknown);
    assert_eq!(ledger.len(), FINISHED_MAX + TOMBSTONES_MAX);
    assert_eq!(
        ledger.tombstone(id(10), INCARNATION, at(1)),
        Verdict::Unknown
    );
    assert_eq!(
        ledger.tombstone(id(11), INCARNATION, at(1)),
        Verdict::Finished
    );
}

/// Guards against retained responses that together exhaust the memory.
#[test]
fn bytes_of_retained_responses_are_bounded() {
    let mut ledger = Ledger::new(INCARNATION);
    for number in 1..=600 {
        let _ = ledger.begin(request(number, true), at(1));
        let complete = Outcome::Complete(Some(response(RESPONSE_BYTES_MAX)));
        ledger.finish(id(number), complete, at(1));
    }

    assert_eq!(ledger.retained_bytes(), RESPONSES_BYTES_MAX);
    assert_eq!(ledger.begin(request(600, true), at(2)), Decision::Finished);
}

/// A step of a random history.
#[derive(Debug, Clone)]
enum Step {
    Begin(u64, bool),
    Finish(u64, u8),
    Tombstone(u64),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let number = 1..12_u64;
    prop_oneof![
        4 => (number.clone(), any::<bool>()).prop_map(|(n, keyed)| Step::Begin(n, keyed)),
        4 => (number.clone(), 0..3_u8).prop_map(|(n, outcome)| Step::Finish(n, outcome)),
        3 => number.prop_map(Step::Tombstone),
        1 => prop_oneof![1..2_000_u64, 55_000..700_000_u64].prop_map(Step::Wait),
    ]
}

proptest! {
    /// Guards against histories in which a request runs twice, runs after "not run" was reported
    /// for it, or is reported as "not run" although it has run.
    #[test]
    fn every_history_keeps_the_verdicts_true(steps in prop::collection::vec(step(), 1..120)) {
        let mut ledger = Ledger::new(INCARNATION);
        let mut now = at(1);
        let mut running: HashSet<u64> = HashSet::new();
        let mut has_run: HashSet<u64> = HashSet::new();
        let mut refused: HashSet<u64> = HashSet::new();
        for step in steps {
            match step {
                Step::Begin(number, is_keyed) => {
                    if ledger.begin(request(number, is_keyed), now) == Decision::Run {
                        prop_assert!(!refused.contains(&number), "{number} was refused");
                        prop_assert!(!has_run.contains(&number), "{number} runs twice");
                        prop_assert!(running.insert(number), "{number} is running");
                    }
                }
                Step::Finish(number, outcome) => {
                    let outcome = match outcome {
                        0 => Outcome::NotRun,
                        1 => Outcome::Unknown,
                        _ => Outcome::Complete(Some(response(10))),
                    };
                    let ran = outcome != Outcome::NotRun;
                    ledger.finish(id(number), outcome, now);
                    if running.remove(&number) && ran {
                        has_run.insert(number);
                    }
                }
                Step::Tombstone(number) => {
                    if ledger.tombstone(id(number), INCARNATION, now) == Verdict::NotRun {
                        prop_assert!(!running.contains(&number), "{number} is running");
                        prop_assert!(!has_run.contains(&number), "{number} has run");
                        refused.insert(number);
                    }
                }
                Step::Wait(millis) => now = now.plus_millis(millis),
            }
            prop_assert_eq!(ledger.running_requests(), running.len());
        }
    }
}
