//! Tests of upstream selection.

use rstest::{fixture, rstest};
use toucanquay_model::Time;
use toucanquay_policy::route::{
    Balancer, Decision, Key, Outcome, Reason, Release, Request, Router, State,
};

const NOW: Time = Time::from_millis(100_000);

/// Returns numbers spread evenly over the range of `u64`.
fn randoms() -> impl Iterator<Item = u64> {
    (0..200).map(|step: u64| step.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn sent(decision: Decision) -> Option<Key> {
    match decision {
        Decision::Send(key) => Some(key),
        Decision::Wait(_) | Decision::Shed(_) => None,
    }
}

/// Returns a balancer in zone "a" with two upstreams past slow start, of two slots each, in that
/// zone.
#[fixture]
fn pair() -> (Balancer, [Key; 2]) {
    let mut balancer = Balancer::new("a");
    let keys = [0, 1].map(|_| balancer.insert_warm("a", 2, NOW));
    (balancer, keys)
}

/// Guards against new requests to an upstream that is draining or unhealthy.
#[rstest]
#[case(State::Draining)]
#[case(State::Unhealthy)]
fn only_upstreams_in_state_up_are_picked(pair: (Balancer, [Key; 2]), #[case] state: State) {
    let (mut balancer, [left, right]) = pair;
    balancer.set_state(left, state, NOW);

    let router = balancer.router();
    let local_zone = router.get(left).unwrap().zone();

    assert!(randoms().all(|random| router.pick(local_zone, &[], NOW, random) == Some(right)));
}

/// Guards against new requests to an upstream after its companion has refused one because it is
/// draining, before the heartbeat reports that state.
#[rstest]
fn refusal_as_draining_stops_new_requests(pair: (Balancer, [Key; 2])) {
    let (mut balancer, _) = pair;
    let request = Request::new(NOW.plus_millis(100));
    let key = sent(balancer.admit(&request, NOW, 1)).unwrap();

    balancer.finish(key, Outcome::Draining, 500, NOW);

    assert!(randoms().all(|random| sent(balancer.admit(&request, NOW, random)) != Some(key)));
}

/// Guards against a removed upstream that stays in the ready set.
#[rstest]
fn removed_upstream_is_not_picked(pair: (Balancer, [Key; 2])) {
    let (mut balancer, keys) = pair;
    balancer.remove(keys[0]);
    balancer.remove(keys[1]);

    let decision = balancer.admit(&Request::new(NOW.plus_millis(100)), NOW, 1);

    let Decision::Shed(shed) = decision else {
        panic!("{decision:?}");
    };
    assert_eq!(shed.reason, Reason::NoUpstream);
    assert!(shed.retry_after_micros > 0);
}

/// Guards against retrying on the upstream that failed, and against not retrying when there is no
/// other upstream.
#[rstest]
fn retry_avoids_the_excluded_upstream(pair: (Balancer, [Key; 2])) {
    let (mut balancer, [left, right]) = pair;
    let request = Request::new(NOW.plus_millis(100)).excluding(left);

    let other = balancer.retry(&request, NOW, 1).and_then(sent);
    balancer.remove(right);
    let same = balancer.retry(&request, NOW, 1).and_then(sent);

    assert_eq!(other, Some(right));
    assert_eq!(same, Some(left));
}

/// Guards against a waiting retry that blocks the requests behind it when only its excluded
/// upstream has free capacity.
#[rstest]
fn excluded_upstream_does_not_block_the_queue(pair: (Balancer, [Key; 2])) {
    let (mut balancer, [left, _]) = pair;
    let request = Request::new(NOW.plus_millis(100));
    for random in 0..4 {
        assert!(sent(balancer.admit(&request, NOW, random)).is_some());
    }
    let urgent = Request::new(NOW.plus_millis(50)).excluding(left);
    assert!(matches!(balancer.admit(&urgent, NOW, 1), Decision::Wait(_)));
    let Decision::Wait(behind) = balancer.admit(&request, NOW, 1) else {
        panic!("all slots are in use");
    };

    balancer.finish(left, Outcome::Succeeded, 1_000, NOW);

    assert_eq!(balancer.tick(NOW, 1), [Release::Send(behind, left)]);
}

/// Guards against a selection that ignores load. The second of two requests goes to the other
/// upstream.
#[rstest]
fn less_loaded_upstream_is_picked(pair: (Balancer, [Key; 2])) {
    let (mut balancer, _) = pair;
    let request = Request::new(NOW.plus_millis(100));
    let first = sent(balancer.admit(&request, NOW, 1));

    assert!(randoms().all(|random| {
        let mut balancer = balancer.clone();
        let second = sent(balancer.admit(&request, NOW, random));
        second.is_some() && second != first
    }));
}

/// Guards against cross-zone requests without need, and against waiting for the local zone while
/// another zone has free capacity.
#[test]
fn remote_zone_is_used_only_when_the_local_zone_is_full() {
    let mut router = Router::new();
    let local_zone = router.zone("a");
    let remote_zone = router.zone("b");
    let local = router.insert_warm(local_zone, 1, NOW);
    let remote = router.insert_warm(remote_zone, 8, NOW);

    let empty = router.pick(local_zone, &[], NOW, 1);
    router.start(local, NOW);
    let full = router.pick(local_zone, &[], NOW, 1);

    assert_eq!((empty, full), (Some(local), Some(remote)));
}

/// Guards against queueing in the local zone for longer than the round trip to an idle zone, and
/// against using the remote zone for a smaller gain.
#[rstest]
#[case::slow(60_000, true)]
#[case::fast(2_000, false)]
fn spillover_needs_a_gain_above_the_round_trip(
    #[case] latency_micros: u64,
    #[case] spills_over: bool,
) {
    let mut router = Router::new();
    let local_zone = router.zone("a");
    let remote_zone = router.zone("b");
    let local = router.insert_warm(local_zone, 8, NOW);
    let remote = router.insert_warm(remote_zone, 8, NOW);
    for key in [local, remote] {
        router.start(key, NOW);
        router.finish(key, local_zone, Outcome::Succeeded, latency_micros, NOW);
    }
    for _ in 0..6 {
        router.start(local, NOW);
    }

    let key = router.pick(local_zone, &[], NOW, 1);

    assert_eq!(key, Some(if spills_over { remote } else { local }));
}

/// Guards against sending a full share of the load to an upstream with cold caches.
#[test]
fn new_upstream_starts_slowly() {
    let mut router = Router::new();
    let zone = router.zone("a");
    let key = router.insert(zone, 8, NOW);

    let available = |seconds: u64| {
        router
            .get(key)
            .unwrap()
            .available(NOW.plus_millis(seconds * 1_000))
    };

    assert_eq!((available(0), available(5), available(10)), (1, 4, 8));
}

/// Guards against a slow start that advances only with the next event.
#[test]
fn tick_opens_the_next_slot_of_a_slow_start() {
    let mut balancer = Balancer::new("a");
    balancer.insert("a", 8, NOW);
    let request = Request::new(NOW.plus_millis(60_000));
    assert!(sent(balancer.admit(&request, NOW, 1)).is_some());
    assert!(matches!(
        balancer.admit(&request, NOW, 2),
        Decision::Wait(_)
    ));

    let at = balancer.next_tick().unwrap();
    let released = balancer.tick(at.plus_micros(1), 3);

    assert_eq!(released.len(), 1);
}

/// Guards against sending a waiting request that the service no longer has the time to answer.
#[test]
fn waiting_request_that_can_no_longer_be_answered_is_refused_unsent() {
    let mut balancer = Balancer::new("a");
    let key = balancer.insert_warm("a", 1, NOW);
    let request = Request::new(NOW.plus_millis(2_500));
    assert_eq!(sent(balancer.admit(&request, NOW, 1)), Some(key));
    let patient = Request::new(NOW.plus_millis(9_000));
    let [Decision::Wait(hopeless), Decision::Wait(served)] =
        [&request, &patient].map(|request| balancer.admit(request, NOW, 2))
    else {
        panic!("the only slot is in use");
    };

    let answered_at = NOW.plus_millis(2_000);
    balancer.finish(key, Outcome::Succeeded, 2_000_000, answered_at);
    let releases = balancer.tick(answered_at, 3);

    let [Release::Shed(refused, shed), Release::Send(next, _)] = releases[..] else {
        panic!("{releases:?}");
    };
    assert_eq!((refused, next), (hopeless, served));
    assert_eq!(shed.reason, Reason::Deadline);
}

/// Guards against sending one request after the other in vain to a service that answers none.
#[test]
fn waiting_request_with_less_time_than_one_that_ran_in_vain_is_refused_unsent() {
    let mut balancer = Balancer::new("a");
    let key = balancer.insert_warm("a", 1, NOW);
    let first = Request::new(NOW.plus_millis(2_500));
    assert_eq!(sent(balancer.admit(&first, NOW, 1)), Some(key));
    let second = Request::new(NOW.plus_millis(2_510));
    let Decision::Wait(ticket) = balancer.admit(&second, NOW, 2) else {
        panic!("the only slot is in use");
    };

    let failed_at = NOW.plus_millis(2_500);
    balancer.finish(key, Outcome::Failed, 2_500_000, failed_at);
    let releases = balancer.tick(failed_at, 3);

    let [Release::Shed(refused, shed)] = releases[..] else {
        panic!("{releases:?}");
    };
    assert_eq!((refused, shed.reason), (ticket, Reason::Deadline));
    let idle = balancer.admit(&Request::new(failed_at.plus_millis(100)), failed_at, 4);
    assert_eq!(sent(idle), Some(key), "an idle service is tried again");
}

/// Guards against an upstream that is never tried again after a slow response.
#[test]
fn slow_upstream_is_tried_again() {
    let mut router = Router::new();
    let zone = router.zone("a");
    let slow = router.insert_warm(zone, 8, NOW);
    let fast = router.insert_warm(zone, 8, NOW);
    let later = NOW.plus_millis(30_000);
    for (key, at, micros) in [
        (slow, NOW, 90_000),
        (fast, NOW, 9_000),
        (fast, later, 9_000),
    ] {
        router.start(key, at);
        router.finish(key, zone, Outcome::Succeeded, micros, at);
    }

    assert_eq!(router.pick(zone, &[], NOW, 1), Some(fast));
    assert_eq!(router.pick(zone, &[], later, 1), Some(slow));
}
