//! Tests of the request queue.

use proptest::prelude::*;
use toucanquay_model::Time;
use toucanquay_policy::queue::{Queue, Reason};

const NOW: Time = Time::from_millis(100_000);

/// Guards against a request that is popped after one with a later deadline, popped twice or lost
/// when other requests are cancelled.
#[test]
fn pop_follows_the_deadlines() {
    proptest!(|(millis in prop::collection::vec(1_u64..4_000, 1..60), cancelled in any::<u64>())| {
        let mut queue: Queue<u32> = Queue::new();
        let mut expected = Vec::new();
        for (index, &millis) in millis.iter().enumerate() {
            let deadline = NOW.plus_millis(millis);
            let ticket = queue.push(deadline, &[], NOW).unwrap();
            if cancelled >> (index % 64) & 1 == 1 {
                prop_assert!(queue.cancel(ticket).is_some());
                prop_assert!(queue.cancel(ticket).is_none());
            } else {
                expected.push(deadline);
            }
        }
        expected.sort();

        let popped = std::iter::from_fn(|| queue.pop()).map(|(_, waiting)| waiting.deadline);

        prop_assert_eq!(popped.collect::<Vec<_>>(), expected);
    });
}

/// Guards against keeping a request that can no longer be answered in time.
#[test]
fn expiry_leaves_time_for_the_service() {
    let mut queue: Queue<u32> = Queue::new();
    queue.set_estimates(0.0, 10_000.0);
    let ticket = queue.push(NOW.plus_millis(50), &[], NOW).unwrap();

    assert_eq!(queue.next_expiry(), Some(NOW.plus_millis(40)));
    assert_eq!(queue.expire(NOW.plus_millis(39)), None);
    assert_eq!(queue.expire(NOW.plus_millis(40)), Some(ticket));
    assert!(queue.is_empty());
}

/// Guards against an expiry that follows the service time expected when the request was pushed.
#[test]
fn expiry_follows_the_service_time_expected_now() {
    let mut queue: Queue<u32> = Queue::new();
    queue.set_estimates(0.0, 10_000.0);
    let later = queue.push(NOW.plus_millis(60), &[], NOW).unwrap();
    let ticket = queue.push(NOW.plus_millis(50), &[], NOW).unwrap();

    queue.set_estimates(0.0, 30_000.0);

    assert_eq!(queue.next_expiry(), Some(NOW.plus_millis(20)));
    assert_eq!(queue.expire(NOW.plus_millis(19)), None);
    assert_eq!(queue.expire(NOW.plus_millis(20)), Some(ticket));
    assert_eq!(queue.expire(NOW.plus_millis(20)), None);
    queue.set_estimates(0.0, 5_000.0);
    assert_eq!(queue.next_expiry(), Some(NOW.plus_millis(55)));
    assert_eq!(queue.expire(NOW.plus_millis(55)), Some(later));
}

/// Guards against serving requests that will be late. A request that cannot be served in time is
/// refused immediately, with the expected wait as a retry hint.
#[test]
fn request_that_would_be_late_is_shed_early() {
    let mut queue: Queue<u32> = Queue::new();
    queue.set_estimates(10_000.0, 10_000.0);
    for _ in 0..24 {
        queue.push(NOW.plus_millis(500), &[], NOW).unwrap();
    }

    let same_deadline = queue.push(NOW.plus_millis(500), &[], NOW).unwrap_err();
    let earlier_deadline = queue.push(NOW.plus_millis(400), &[], NOW);
    let later_deadline = queue.push(NOW.plus_millis(900), &[], NOW);
    let within_service_time = queue.push(NOW.plus_millis(5), &[], NOW).unwrap_err();

    assert_eq!(
        (same_deadline.reason, same_deadline.retry_after_micros),
        (Reason::Overloaded, 250_000)
    );
    assert!(earlier_deadline.is_ok(), "no request is ahead of it");
    assert!(later_deadline.is_ok(), "it has time to wait");
    assert_eq!(within_service_time.reason, Reason::Deadline);
}

/// Guards against a sustained overload in which every served request waits for half its deadline.
#[test]
fn standing_queue_is_kept_short() {
    let mut queue: Queue<u32> = Queue::new();
    queue.set_estimates(1_000.0, 10_000.0);
    let fill = |queue: &mut Queue<u32>, at: Time| {
        while queue.push(at.plus_millis(110), &[], at).is_ok() {}
        queue.len()
    };

    let burst = fill(&mut queue, NOW);
    while queue.len() > 5 {
        queue.pop();
    }
    let standing = fill(&mut queue, NOW.plus_millis(300));

    assert_eq!((burst, standing), (50, 20));
}

/// Guards against starvation of a request without a deadline behind a stream of urgent ones.
#[test]
fn request_without_deadline_is_served() {
    let mut queue: Queue<u32> = Queue::new();
    let without_deadline = queue.push(Time::NEVER, &[], NOW).unwrap();

    let served_at = (0..10_000).find(|&step| {
        let at = NOW.plus_millis(step);
        queue.push(at.plus_millis(50), &[], at).unwrap();
        queue.pop().unwrap().0 == without_deadline
    });

    assert!(served_at.is_some_and(|millis| millis < 6_000));
}

/// Guards against a cancellation or an expiry that scans the queue. In a full queue, 10,000 scans
/// would take 50 million steps.
#[test]
fn cancellation_wave_is_fast() {
    let mut queue: Queue<u32> = Queue::new();
    let deadline = |step: u64| NOW.plus_millis(1_000 + step);
    let tickets: Vec<_> = (0..10_000)
        .map(|step| queue.push(deadline(step), &[], NOW).unwrap())
        .collect();
    let started = std::time::Instant::now();

    for ticket in tickets {
        assert!(queue.cancel(ticket).is_some());
    }

    assert!(queue.is_empty());
    assert!(started.elapsed().as_millis() < 500);
}
