//! Throttling, backoff and stamps, without I/O.

use proptest::prelude::*;
use toucanquay_model::Time;
use toucanquay_store::{
    Backoff, CircuitBreaker, Stamp, Throttle, TokenBucket, circuit_breaker::State,
    throttle::Admission,
};

const PROBE_TIMEOUT_MICROS: u64 = 1_000_000;

fn open_breaker(now: Time) -> CircuitBreaker {
    let mut breaker = CircuitBreaker::new(PROBE_TIMEOUT_MICROS);
    while breaker.state() == State::Closed {
        let permit = breaker.admit(now).unwrap();
        breaker.record_failure(permit, now, 0.0);
    }
    breaker
}

fn open_until(breaker: &CircuitBreaker) -> Time {
    match breaker.state() {
        State::Open { until } => until,
        other => panic!("not open: {other:?}"),
    }
}

/// Guards against a breaker that opens for a healthy store because of a few lost responses.
#[test]
fn breaker_stays_closed_when_answers_come_between_failures() {
    let now = Time::ZERO;
    let mut breaker = CircuitBreaker::new(PROBE_TIMEOUT_MICROS);

    for call in 0..100 {
        let permit = breaker.admit(now).unwrap();
        if call % 4 == 0 {
            breaker.record_success(permit);
        } else {
            breaker.record_failure(permit, now, 0.0);
        }
    }

    assert_eq!(breaker.state(), State::Closed);
}

/// Guards against a burst of calls from one client when the open time of the breaker has passed.
#[test]
fn breaker_admits_one_probe() {
    let mut breaker = open_breaker(Time::ZERO);
    let until = open_until(&breaker);

    let early = breaker.admit(Time::from_micros(until.as_micros() - 1));
    let probe = breaker.admit(until);
    let second = breaker.admit(until);

    assert_eq!((early, second), (None, None));
    assert!(probe.unwrap().is_probe);
    assert!(breaker.record_success(probe.unwrap()));
    assert!(breaker.admit(until).is_some());
}

/// Guards against a breaker that stays open forever because the caller of its probe was cancelled.
#[test]
fn lost_probe_is_replaced() {
    let mut breaker = open_breaker(Time::ZERO);
    let until = open_until(&breaker);
    let lost = breaker.admit(until).unwrap();
    let later = until.plus_micros(PROBE_TIMEOUT_MICROS);

    let next = breaker.admit(later).unwrap();
    let is_closed_by_lost = breaker.record_success(lost);
    let is_closed_by_next = breaker.record_success(next);

    assert_eq!((is_closed_by_lost, is_closed_by_next), (false, true));
}

/// Guards against late failures of calls from an outage that reopen the breaker after it.
#[test]
fn outcomes_of_an_earlier_state_are_ignored() {
    let now = Time::ZERO;
    let mut breaker = CircuitBreaker::new(PROBE_TIMEOUT_MICROS);
    let late = breaker.admit(now).unwrap();
    while breaker.state() == State::Closed {
        let permit = breaker.admit(now).unwrap();
        breaker.record_failure(permit, now, 0.0);
    }
    let until = open_until(&breaker);
    let probe = breaker.admit(until).unwrap();
    breaker.record_success(probe);

    for _ in 0..100 {
        breaker.record_failure(late, until, 0.0);
    }

    assert_eq!(breaker.state(), State::Closed);
}

/// Guards against a lease that expires because its keep-alive queues behind other calls.
#[test]
fn urgent_call_is_immediate_and_delays_later_calls() {
    let now = Time::ZERO;
    let mut bucket = TokenBucket::new(10, now);
    for _ in 0..20 {
        bucket.take(now, now.plus_millis(1_000)).unwrap();
    }

    let is_sent = bucket.take_urgent(now);
    let next = bucket.take(now, Time::NEVER);

    assert!(is_sent);
    assert_eq!(next, Some(now.plus_millis(1_200)));
}

proptest! {
    /// Guards against a bucket that admits more calls than its rate and one burst.
    #[test]
    fn bucket_bounds_calls_in_every_window(
        rate in 1_u32..200,
        steps in prop::collection::vec((0_u64..400_000, any::<bool>()), 1..200),
    ) {
        let mut now = Time::ZERO;
        let mut bucket = TokenBucket::new(rate, now);
        let mut sent = Vec::new();
        for (step, can_wait) in steps {
            now = now.plus_micros(step);
            let latest = if can_wait { now.plus_millis(500) } else { now };
            sent.extend(bucket.take(now, latest));
        }

        prop_assert!(sent.is_sorted());
        for (first, from) in sent.iter().enumerate() {
            let within = sent[first..].partition_point(|at| at.micros_since(*from) < 1_000_000);
            prop_assert!(within <= 2 * rate as usize);
        }
    }

    /// Guards against a drained bucket that still admits a burst.
    #[test]
    fn drained_bucket_spaces_calls(rate in 1_u32..200, quiet in 0_u64..10_000_000) {
        let now = Time::from_micros(quiet);
        let mut bucket = TokenBucket::new(rate, Time::ZERO);
        bucket.drain(now);

        let first = bucket.take(now, Time::NEVER).unwrap();
        let second = bucket.take(now, Time::NEVER).unwrap();

        let interval = 1_000_000 / u64::from(rate);
        prop_assert_eq!(first.micros_since(now), interval);
        prop_assert_eq!(second.micros_since(first), interval);
    }

    /// Guards against delays that shrink, exceed their maximum or lose their jitter.
    #[test]
    fn backoff_stays_in_its_range(failures in 0_u32..100, random in 0.0_f64..1.0) {
        let backoff = Backoff::new(20_000, 2_000_000);

        let wait = backoff.delay_micros(failures, random);

        let max_delay = backoff.delay_micros(failures, 1.0);
        prop_assert!(wait <= max_delay && max_delay <= 2_000_000);
        prop_assert!(wait >= max_delay / 2);
        prop_assert!(backoff.delay_micros(failures, 0.0) <= max_delay / 2);
        prop_assert!(max_delay <= backoff.delay_micros(failures + 1, 1.0));
    }

    /// Guards against a breaker that admits two calls between two outcomes while it is not closed.
    #[test]
    fn breaker_admits_one_call_at_a_time_until_it_closes(
        steps in prop::collection::vec((0_u64..3_000_000, any::<bool>(), 0.0_f64..1.0), 1..300),
    ) {
        let mut now = Time::ZERO;
        let mut breaker = open_breaker(now);
        let mut last = None;
        for (step, is_success, random) in steps {
            now = now.plus_micros(step);
            let Some(permit) = breaker.admit(now) else { continue };
            if permit.is_probe {
                let since = last.map_or(u64::MAX, |last| now.micros_since(last));
                prop_assert!(since >= 250_000, "two probes within {since} us");
                last = Some(now);
            }
            prop_assert!(!permit.is_probe || breaker.admit(now).is_none());
            if is_success {
                breaker.record_success(permit);
                last = None;
            } else {
                breaker.record_failure(permit, now, random);
            }
        }
    }

    /// Guards against a value altered by its encoding, or an unstamped one that is decoded as
    /// stamped.
    #[test]
    fn stamped_value_round_trips(
        writer in "[!-~]{1,128}",
        sequence in any::<u64>(),
        value in any::<String>(),
    ) {
        let stamp = Stamp { writer, sequence };
        let encoded = stamp.encode(&value);

        prop_assert_eq!(Stamp::decode(&encoded), (Some(stamp), value.as_str()));
        prop_assert_eq!(Stamp::decode(&value), (None, value.as_str()));
    }
}

/// Guards against calls that were reserved during an outage and are sent in a burst when another
/// call detects the end of the outage.
#[test]
fn reservations_of_an_outage_are_void_after_it() {
    let now = Time::from_millis(10_000);
    let bucket = TokenBucket::new(10, now);
    let mut throttle = Throttle::new(bucket, open_breaker(Time::ZERO));
    let probe = throttle.reserve(now, now).unwrap();
    let late = throttle.reserve(now, now).unwrap();
    let Admission::Admitted(permit) = throttle.admit(probe, now) else {
        panic!("the probe was not admitted after the open time of the breaker");
    };

    let has_recovered = throttle.record_success(permit, now);
    let admission = throttle.admit(late, now);
    let next = throttle.reserve(now, now.plus_millis(1_000)).unwrap();

    assert!(has_recovered);
    assert_eq!(admission, Admission::Invalidated);
    assert_eq!(next.send_at, now.plus_millis(100));
}
