//! Concurrency limit of one upstream.

use toucanquay_model::Time;
use toucanquay_policy::limit::Limit;

const NOW: Time = Time::from_millis(100_000);

/// A limit of eight slots that has learned a latency of 8 ms.
fn learned() -> Limit {
    let mut limit = Limit::new(8);
    for _ in 0..100 {
        limit.answered(8_000.0);
    }
    limit
}

/// Guards against sending into slots that others fill: after a refusal only as many as were
/// accepted may be in flight, and one more after each pause.
#[test]
fn refusal_bounds_the_room_until_it_is_probed() {
    let mut limit = learned();

    limit.refused(3, NOW);

    assert_eq!(limit.room(3, NOW), 0);
    assert_eq!(limit.room(2, NOW), 1);
    let step = limit.next_step(NOW).unwrap();
    assert_eq!(limit.room(3, step), 1);
    assert_eq!(limit.room(3, NOW.plus_millis(1_000)), 5);
}

/// Guards against a storm of refused sends while an upstream stays full.
#[test]
fn refusals_of_first_steps_double_the_pause() {
    let mut limit = learned();
    limit.refused(3, NOW);
    let first = limit.next_step(NOW).unwrap();

    limit.refused(3, first);

    let second = limit.next_step(first).unwrap();
    assert_eq!(second.micros_since(first), 2 * first.micros_since(NOW));
}

/// Guards against a limit that ignores slow-down, and against one that shrinks until it sheds.
#[test]
fn slow_down_lowers_the_limit_to_the_floor_and_back() {
    let mut limit = learned();

    for _ in 0..100 {
        limit.answered(80_000.0);
    }
    let slowed = limit.current();
    for _ in 0..400 {
        limit.answered(8_000.0);
    }

    assert_eq!((slowed, limit.current()), (4, 8));
}

/// Guards against a limit above the slots after they are reduced.
#[test]
fn resize_keeps_the_limit_within_the_slots() {
    let mut limit = Limit::new(8);

    limit.resize(3);

    assert_eq!((limit.current(), limit.room(0, NOW)), (3, 3));
}

/// Guards against a comparison of upstreams that ignores the load of other entries.
#[test]
fn reports_teach_the_load_of_others() {
    let mut limit = Limit::new(8);

    for _ in 0..200 {
        limit.report(6, 2);
    }

    assert!((limit.others() - 4.0).abs() < 0.1);
}
