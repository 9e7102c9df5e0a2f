//! Tests of jobs with scheduled occurrences: many of them, and jumps of the wall clock.

#[expect(dead_code, reason = "the fixtures are shared with other tests")]
mod graph;

use std::time::{Duration, Instant};

use graph::{accepted_job, at, orders, owner, step};
use toucanquay_control::scheduler::{RestoredJob, Scheduler};
use toucanquay_model::graph::{AcceptedJob, Id, Schedule, Step};

/// Wall-clock time at time 0, in milliseconds since the Unix epoch.
const START_UNIX_MS: u64 = 5_000_000;

/// Time for which an owner acts after a renewal of its term. One that stands still for longer loses
/// its role.
const TERM: Duration = Duration::from_millis(1_600);

fn scheduled(step: Step, occurrences: u32, first_unix_ms: u64, interval_ms: u64) -> AcceptedJob {
    let mut job = accepted_job(vec![step]);
    job.job.schedule = Some(Schedule {
        occurrences,
        first_unix_ms,
        interval_ms,
    });
    job
}

/// Returns the occurrences whose tasks are started on a host.
fn started(scheduler: &mut Scheduler, host: &str, millis: u64) -> Vec<u32> {
    let orders = orders(scheduler, host, at(millis));
    let starts = orders.starts.iter();
    starts.map(|start| start.task.occurrence).collect()
}

/// Guards against owners that lose their role one after the other, since each stands still over the
/// due occurrences of the jobs that it takes over.
#[test]
fn takeover_of_many_due_occurrences_takes_less_than_a_term() {
    const JOBS: u64 = 10;
    const OCCURRENCES: u32 = 20_000;
    /// All occurrences are due by then.
    const NOW_MS: u64 = 50_000;
    let mut scheduler = owner(2, &["h1"]);
    scheduler.set_wall_clock(START_UNIX_MS, at(0));
    let without_room = Step {
        requires: Some("b".to_owned()),
        ..step(1)
    };

    let began_at = Instant::now();
    for number in 0..JOBS {
        let job = scheduled(without_room.clone(), OCCURRENCES, START_UNIX_MS, 2);
        let restored = RestoredJob::default();
        scheduler.restore(Id::new(100 + number), job, restored, at(NOW_MS));
    }
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(NOW_MS));
    let starts = orders(&mut scheduler, "h1", at(NOW_MS)).starts.len();
    let first_tick = began_at.elapsed();
    let began_at = Instant::now();
    scheduler.accept(Id::new(2), accepted_job(vec![step(1)]), at(NOW_MS + 600));
    let later_starts = orders(&mut scheduler, "h1", at(NOW_MS + 600)).starts.len();
    let later_tick = began_at.elapsed();

    assert_eq!((starts, later_starts), (1, 1));
    assert!(first_tick < TERM, "{first_tick:?}");
    assert!(later_tick < TERM, "{later_tick:?}");
}

/// Guards against an occurrence that never runs because the wall clock jumped back before it was due.
#[test]
fn occurrence_runs_although_the_wall_clock_jumped_back() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.set_wall_clock(START_UNIX_MS, at(0));
    let job = scheduled(step(1), 2, START_UNIX_MS + 1_000, 1_000);
    scheduler.accept(Id::new(1), job, at(0));

    // From here on, the wall clock is 2 s behind.
    scheduler.set_wall_clock(START_UNIX_MS - 1_500, at(500));
    let too_early = started(&mut scheduler, "h1", 1_010);
    let first = started(&mut scheduler, "h1", 3_010);
    let second = started(&mut scheduler, "h1", 4_010);

    assert_eq!((too_early, first, second), (vec![], vec![0], vec![1]));
}

/// Guards against an occurrence that runs late because the wall clock jumped ahead.
#[test]
fn occurrence_is_on_time_although_the_wall_clock_jumped_ahead() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.set_wall_clock(START_UNIX_MS, at(0));
    let job = scheduled(step(1), 1, START_UNIX_MS + 3_000, 1_000);
    scheduler.accept(Id::new(1), job, at(0));

    // From here on, the wall clock is 2 s ahead.
    scheduler.set_wall_clock(START_UNIX_MS + 2_500, at(500));
    let started = started(&mut scheduler, "h1", 1_010);

    assert_eq!(started, [0]);
}
