//! Tests of the concurrency limit of one upstream.

use toucanquay_model::Time;
use toucanquay_policy::limit::Limit;

const NOW: Time = Time::from_millis(100_000);

/// Returns a limit of eight slots with a recorded latency of 8 ms.
fn warmed_up_limit() -> Limit {
    let mut limit = Limit::new(8);
    for _ in 0..100 {
        limit.record_response(8_000.0);
    }
    limit
}

/// Guards against sending to slots that other entries occupy. After a refusal, only as many
/// requests as were accepted may be in flight, plus one after each step interval.
#[test]
fn refusal_bounds_sends_until_the_next_step() {
    let mut limit = warmed_up_limit();

    limit.record_refusal(3, NOW);

    assert_eq!(limit.available(3, NOW), 0);
    assert_eq!(limit.available(2, NOW), 1);
    let step = limit.next_step(NOW).unwrap();
    assert_eq!(limit.available(3, step), 1);
    assert_eq!(limit.available(3, NOW.plus_millis(1_000)), 5);
}

/// Guards against many refused requests while an upstream stays full.
#[test]
fn refusals_of_first_steps_double_the_interval() {
    let mut limit = warmed_up_limit();
    limit.record_refusal(3, NOW);
    let first = limit.next_step(NOW).unwrap();

    limit.record_refusal(3, first);

    let second = limit.next_step(first).unwrap();
    assert_eq!(second.micros_since(first), 2 * first.micros_since(NOW));
}

/// Guards against a limit that ignores a slowdown, and against one that shrinks until requests are
/// shed.
#[test]
fn slowdown_lowers_the_limit_to_its_minimum_and_back() {
    let mut limit = warmed_up_limit();

    for _ in 0..100 {
        limit.record_response(80_000.0);
    }
    let slowed = limit.current();
    for _ in 0..400 {
        limit.record_response(8_000.0);
    }

    assert_eq!((slowed, limit.current()), (4, 8));
}

/// Guards against a limit above the number of slots after a reduction.
#[test]
fn resize_keeps_the_limit_within_the_slots() {
    let mut limit = Limit::new(8);

    limit.resize(3);

    assert_eq!((limit.current(), limit.available(0, NOW)), (3, 3));
}

/// Guards against comparing upstreams without the load of other entries.
#[test]
fn reports_update_the_load_of_other_entries() {
    let mut limit = Limit::new(8);

    for _ in 0..200 {
        limit.record_report(6, 2);
    }

    assert!((limit.others_in_flight() - 4.0).abs() < 0.1);
}
