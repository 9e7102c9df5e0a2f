//! Tests of outlier ejection and of the retry budget.

use rstest::rstest;
use slotmap::{DefaultKey, SlotMap};
use toucanquay_model::Time;
use toucanquay_policy::{
    eject::{Ejector, Phase},
    retry::Budget,
    route::{Balancer, Decision, Outcome, Request},
};

const NOW: Time = Time::from_millis(100_000);

fn ejector(upstreams: usize) -> (Ejector<DefaultKey>, Vec<DefaultKey>) {
    let mut keys = SlotMap::new();
    let keys: Vec<DefaultKey> = (0..upstreams).map(|_| keys.insert(())).collect();
    let mut ejector = Ejector::new();
    for &key in &keys {
        ejector.insert(key);
    }
    (ejector, keys)
}

/// Guards against ejecting all upstreams when all of them fail.
#[rstest]
#[case(1, 0)]
#[case(2, 1)]
#[case(3, 1)]
#[case(11, 3)]
#[case(200, 68)]
fn ejection_cap_keeps_upstreams_in_service(#[case] upstreams: usize, #[case] ejected: usize) {
    let (mut ejector, keys) = ejector(upstreams);

    for _ in 0..20 {
        for &key in &keys {
            ejector.record_failure(key, NOW);
            ejector.record_unreachable(key, NOW);
        }
    }

    assert_eq!(ejector.ejected(), ejected);
}

/// Guards against ejecting an upstream that fails one of five requests.
#[test]
fn scattered_failures_do_not_eject() {
    let (mut ejector, keys) = ejector(11);

    for _ in 0..200 {
        ejector.record_failure(keys[0], NOW);
        for _ in 0..4 {
            ejector.record_success(keys[0]);
        }
    }

    assert_eq!(ejector.phase(keys[0]), Phase::InService);
}

/// Guards against an upstream that fails two of three requests but is never ejected, because it
/// never fails five consecutive requests.
#[test]
fn alternating_failures_eject() {
    let (mut ejector, keys) = ejector(11);

    for _ in 0..200 {
        ejector.record_failure(keys[0], NOW);
        ejector.record_failure(keys[0], NOW);
        ejector.record_success(keys[0]);
    }

    assert_eq!(ejector.phase(keys[0]), Phase::Ejected);
}

/// Guards against an upstream that never returns to service, and against one that returns while it
/// still fails.
#[test]
fn probes_decide_on_the_return() {
    let (mut ejector, keys) = ejector(11);
    let key = keys[0];
    ejector.record_unreachable(key, NOW);
    let first = ejector.ejected_until(key).unwrap();

    ejector.tick(key, first);
    let probing = ejector.phase(key);
    ejector.record_failure(key, first);
    let second = ejector.ejected_until(key).unwrap();
    ejector.tick(key, second);
    for _ in 0..3 {
        ejector.record_success(key);
    }

    assert_eq!(probing, Phase::Probing);
    assert!(second.micros_since(first) > first.micros_since(NOW));
    assert_eq!(
        (ejector.phase(key), ejector.ejected()),
        (Phase::InService, 0)
    );
}

/// Guards against an upstream that attracts all requests because it fails them quickly.
#[test]
fn black_hole_gets_few_requests() {
    let mut balancer = Balancer::new("a");
    let keys: Vec<_> = (0..11).map(|_| balancer.insert_warm("a", 8, NOW)).collect();
    let request = Request::new(NOW.plus_millis(1_000));
    let mut failures = 0;

    for step in 0_u64..500 {
        let random = step.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let Decision::Send(key) = balancer.admit(&request, NOW, random) else {
            continue;
        };
        if key == keys[0] {
            failures += 1;
            balancer.finish(key, Outcome::Failed, 300, NOW);
        }
    }

    assert_eq!(failures, 5);
}

/// Guards against retries that multiply the load while all requests fail.
#[test]
fn retries_stay_a_share_of_requests_under_total_failure() {
    let mut budget = Budget::default();
    let mut retries = 0;

    for _ in 0..10_000 {
        budget.deposit();
        while budget.withdraw() {
            retries += 1;
        }
    }

    assert!((900..=1_010).contains(&retries), "{retries}");
}

/// Guards against a burst of retries that were saved over a long time without failures.
#[test]
fn unused_retries_are_bounded() {
    let mut budget = Budget::default();

    for _ in 0..1_000_000 {
        budget.deposit();
    }

    assert_eq!(budget.allowed(), 50);
}
